package org.geraniumreach.gateway.pacing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;

import org.geraniumreach.gateway.adapter.TargetOwnership;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.placement.TargetRegistry;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.Timers;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.TargetId;

/**
 * Paces the prompts that all entries send to a target by its owner, which alone sees all of them.
 *
 * <p>Intended for many entries, each of which sends few requests to each target and cannot tell from its own what the target has to read.
 *
 * <p>Invariant: an owner that is gone, not known, or does not answer in time holds nothing up: the prompt is sent at once. Confined to the event
 * loop.
 */
public final class OwnerAdmission implements TargetAdmission, TargetRegistry.Listener {

    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(60);
    private static final double NANOS_PER_MILLI = 1e6;

    private final TargetOwnership ownership;
    private final TargetRegistry registry;
    private final ToDoubleFunction<String> tokensPerMilli;
    private final TargetAdmissionPeers peers;
    private final Timers timers;
    private final MonotonicClock clock;
    private final Map<Target, PromptPacer> pacers = new HashMap<>();
    private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
    private long lastRequestNumber;

    private record PendingRequest(Consumer<Decision> callback, Cancellable timeout) {}

    /**
     * Creates an admission.
     *
     * @param ownership who owns which target, not null
     * @param registry the targets, not null
     * @param tokensPerMilli tells how fast the targets of a service read, not null
     * @param peers reaches the other entries, not null
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
        this.ownership = Objects.requireNonNull(ownership, "ownership");
        this.registry = Objects.requireNonNull(registry, "registry");
        this.tokensPerMilli = Objects.requireNonNull(tokensPerMilli, "tokensPerMilli");
        this.peers = Objects.requireNonNull(peers, "peers");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    @Override
    public Cancellable admit(Target target, long promptTokens, Duration longestDelay, Consumer<Decision> decided) {
        if (isOwned(target)) {
            decided.accept(admitLocally(target, promptTokens, longestDelay));
            return Cancellable.NOTHING;
        }
        long number = ++lastRequestNumber;
        Optional<String> owner = ownership.holder(target.id()).filter(entry -> !entry.equals(ownership.self()));
        boolean asked = owner.isPresent()
                && peers.requestAdmission(owner.get(), number, target.id(), promptTokens, longestDelay);
        if (!asked) {
            decided.accept(Decision.IMMEDIATE);
            return Cancellable.NOTHING;
        }
        Cancellable timeout = timers.after(ANSWER_TIMEOUT, () -> onAnswer(number, Decision.IMMEDIATE));
        pendingRequests.put(number, new PendingRequest(decided, timeout));
        return () -> cancel(number);
    }

    private void cancel(long number) {
        PendingRequest request = pendingRequests.remove(number);
        if (request != null) {
            request.timeout().cancel();
        }
    }

    private boolean isOwned(Target target) {
        return ownership.fence(target.id()).isPresent();
    }

    private Decision admitLocally(Target target, long promptTokens, Duration longestDelay) {
        double millis =
                promptTokens / tokensPerMilli.applyAsDouble(target.description().service());
        Duration reading = Duration.ofNanos((long) (millis * NANOS_PER_MILLI));
        return pacers.computeIfAbsent(target, missing -> new PromptPacer()).admit(reading, longestDelay, clock.nanos());
    }

    /**
     * Decides for another entry.
     *
     * @param id the target, not null
     * @param promptTokens the prompt's tokens, not negative
     * @param longestDelay the longest time that it may be held back, not null
     * @return the decision, to send at once where this entry does not own the target, not null
     */
    public Decision decide(TargetId id, long promptTokens, Duration longestDelay) {
        return registry.find(id)
                .filter(this::isOwned)
                .map(target -> admitLocally(target, Math.max(0, promptTokens), longestDelay))
                .orElse(Decision.IMMEDIATE);
    }

    /**
     * Takes another entry's answer.
     *
     * @param number the request's number
     * @param decision the decision, not null
     */
    public void onAnswer(long number, Decision decision) {
        PendingRequest request = pendingRequests.remove(number);
        if (request != null) {
            request.timeout().cancel();
            request.callback().accept(decision);
        }
    }

    @Override
    public void joined(Target target) {
        // Its pacer begins with its first prompt.
    }

    @Override
    public void changed(Target target) {
        // A newer row says nothing of what it has to read.
    }

    @Override
    public void left(Target target) {
        pacers.remove(target);
    }
}
