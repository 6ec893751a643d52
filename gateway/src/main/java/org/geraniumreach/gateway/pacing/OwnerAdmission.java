package org.geraniumreach.gateway.pacing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;

import org.geraniumreach.gateway.adapter.TargetOwnership;
import org.geraniumreach.gateway.admission.PromptPacer;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.placement.TargetRegistry;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.PendingAnswers;
import org.geraniumreach.gateway.port.Timers;
import org.geraniumreach.gateway.speed.TargetSpeed;
import org.geraniumreach.gateway.speed.TargetSpeeds;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.TargetId;

/**
 * Paces the prompts that all entries send to a target through the target's owner.
 *
 * <p>Intended for many entries, each of which sends few requests to each target and cannot derive the target's load from them.
 *
 * <p>Invariant: prompts are sent at once if the owner is unknown, cannot be reached or does not answer in time. Confined to the event loop.
 */
public final class OwnerAdmission implements TargetAdmission, TargetRegistry.Listener {

    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(60);
    private static final double NANOS_PER_MILLI = 1e6;

    private final TargetOwnership ownership;
    private final TargetRegistry registry;
    private final ToDoubleFunction<String> tokensPerMilli;
    private final TargetSpeeds speeds;
    private final TargetAdmissionPeers peers;
    private final MonotonicClock clock;
    private final Map<Target, PromptPacer> pacers = new HashMap<>();
    private final PendingAnswers<Decision> pendingAnswers;

    /**
     * Creates an admission without pending requests that treats all targets as equally fast.
     *
     * @param ownership the owners of the targets, not null
     * @param registry the targets, not null
     * @param tokensPerMilli the prompt tokens that a target of a service reads per millisecond, not null
     * @param peers sends requests to the other entries, not null
     * @param timers runs actions later, not null
     * @param clock the clock, not null
     */
    public OwnerAdmission(
            TargetOwnership ownership,
            TargetRegistry registry,
            ToDoubleFunction<String> tokensPerMilli,
            TargetAdmissionPeers peers,
            Timers timers,
            MonotonicClock clock) {
        this(ownership, registry, tokensPerMilli, TargetSpeeds.uniform(), peers, timers, clock);
    }

    /**
     * Creates an admission without pending requests.
     *
     * @param ownership the owners of the targets, not null
     * @param registry the targets, not null
     * @param tokensPerMilli the prompt tokens that an average target of a service reads per millisecond, not null
     * @param speeds the speeds of the targets, not null
     * @param peers sends requests to the other entries, not null
     * @param timers runs actions later, not null
     * @param clock the clock, not null
     */
    public OwnerAdmission(
            TargetOwnership ownership,
            TargetRegistry registry,
            ToDoubleFunction<String> tokensPerMilli,
            TargetSpeeds speeds,
            TargetAdmissionPeers peers,
            Timers timers,
            MonotonicClock clock) {
        this.ownership = Objects.requireNonNull(ownership, "ownership");
        this.registry = Objects.requireNonNull(registry, "registry");
        this.tokensPerMilli = Objects.requireNonNull(tokensPerMilli, "tokensPerMilli");
        this.speeds = Objects.requireNonNull(speeds, "speeds");
        this.peers = Objects.requireNonNull(peers, "peers");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.pendingAnswers = new PendingAnswers<>(timers);
    }

    @Override
    public Cancellable admit(Target target, long promptTokens, Duration maxDelay, Consumer<Decision> callback) {
        if (isOwned(target)) {
            callback.accept(admitLocally(target, promptTokens, maxDelay));
            return Cancellable.NOOP;
        }
        long number = pendingAnswers.nextNumber();
        Optional<String> owner = ownership.holder(target.id()).filter(entry -> !entry.equals(ownership.self()));
        boolean sent =
                owner.isPresent() && peers.requestAdmission(owner.get(), number, target.id(), promptTokens, maxDelay);
        if (!sent) {
            callback.accept(Decision.IMMEDIATE);
            return Cancellable.NOOP;
        }
        return pendingAnswers.add(number, ANSWER_TIMEOUT, Decision.IMMEDIATE, callback);
    }

    private boolean isOwned(Target target) {
        return ownership.fence(target.id()).isPresent();
    }

    private Decision admitLocally(Target target, long promptTokens, Duration maxDelay) {
        TargetSpeed speed = speeds.speedOf(target);
        double tokensPerMilliNow =
                tokensPerMilli.applyAsDouble(target.description().service()) * speed.currentRate();
        Duration readingTime = Duration.ofNanos((long) (promptTokens / tokensPerMilliNow * NANOS_PER_MILLI));
        return pacers.computeIfAbsent(target, missing -> new PromptPacer())
                .admit(readingTime, ReadingFraction.of(speed), maxDelay, clock.nanos())
                .map(delay -> new Decision(true, delay))
                .orElse(Decision.SATURATED);
    }

    /**
     * Decides on a prompt of another entry.
     *
     * @param id the target, not null
     * @param promptTokens the number of tokens of the prompt; a negative number counts as 0
     * @param maxDelay the longest time that the prompt may be delayed, not null
     * @return the decision; {@link Decision#IMMEDIATE} if this entry does not own the target, not null
     */
    public Decision decideForPeer(TargetId id, long promptTokens, Duration maxDelay) {
        return registry.find(id)
                .filter(this::isOwned)
                .map(target -> admitLocally(target, Math.max(0, promptTokens), maxDelay))
                .orElse(Decision.IMMEDIATE);
    }

    /**
     * Processes the answer of another entry; ignored if the request has timed out or been cancelled.
     *
     * @param number the number of the request
     * @param decision the decision, not null
     */
    public void onAnswer(long number, Decision decision) {
        pendingAnswers.complete(number, decision);
    }

    @Override
    public void onLeft(Target target) {
        pacers.remove(target);
    }
}
