package org.geraniumreach.gateway.pacing;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

import org.geraniumreach.gateway.adapter.TargetOwnership;
import org.geraniumreach.gateway.admission.AdmissionDecision;
import org.geraniumreach.gateway.admission.AdmissionRequest;
import org.geraniumreach.gateway.admission.AdmissionResponse;
import org.geraniumreach.gateway.admission.RequestKey;
import org.geraniumreach.gateway.admission.TargetQueues;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.Timers;
import org.geraniumreach.model.MonotonicClock;

/**
 * Requests the admission of prompts from the owners of targets, which order the requests of all entries.
 *
 * <p>If the owner is unknown or cannot be reached, does not answer in time or is lost while a request waits, the request keeps to
 * what this entry alone may send to the target, and what the owner says later is ignored.
 *
 * <p>Invariants: each request gets one decision; nothing is decided after its end. The owner of a request that it was sent is told
 * of its end once, unless it has rejected the request or orders none. Confined to the event loop.
 */
public final class OrderedAdmission implements TargetAdmission {

    /** Time for an answer, and for the margin after the delay that an owner expects; frames take up to 4 ms each way. */
    static final Duration ANSWER_TIMEOUT = Duration.ofMillis(60);

    private final TargetAdmission unordered;
    private final TargetQueues queues;
    private final TargetOwnership ownership;
    private final OrderedAdmissionPeers peers;
    private final OwnBound ownBound;
    private final Timers timers;
    private final MonotonicClock clock;
    private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
    private long lastNumber;

    /** The bound on the prompts that one entry alone may send to a target. */
    @FunctionalInterface
    public interface OwnBound {

        /**
         * Gets the time until a prompt is within the bound.
         *
         * @param target the target, not null
         * @param promptTokens the number of tokens of the prompt
         * @return the time, zero if the prompt may be sent now, not null
         */
        Duration delay(Target target, long promptTokens);
    }

    /**
     * Creates an admission without pending requests.
     *
     * @param unordered decides on prompts that are not ordered, not null
     * @param queues the queues of the targets that this entry owns, not null
     * @param ownership the owners of the targets, not null
     * @param peers sends requests to the other entries, not null
     * @param ownBound what this entry alone may send to a target, not null
     * @param timers runs actions later, not null
     * @param clock the clock, not null
     */
    public OrderedAdmission(
            TargetAdmission unordered,
            TargetQueues queues,
            TargetOwnership ownership,
            OrderedAdmissionPeers peers,
            OwnBound ownBound,
            Timers timers,
            MonotonicClock clock) {
        this.unordered = Objects.requireNonNull(unordered, "unordered");
        this.queues = Objects.requireNonNull(queues, "queues");
        this.ownership = Objects.requireNonNull(ownership, "ownership");
        this.peers = Objects.requireNonNull(peers, "peers");
        this.ownBound = Objects.requireNonNull(ownBound, "ownBound");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    @Override
    public Cancellable admit(Target target, long promptTokens, Duration maxDelay, Consumer<Decision> callback) {
        return unordered.admit(target, promptTokens, maxDelay, callback);
    }

    @Override
    public boolean isOrdered() {
        return true;
    }

    @Override
    public Admission request(Target target, String requestId, AdmissionRequest request, Consumer<Decision> callback) {
        PendingRequest pending = new PendingRequest(++lastNumber, target, request, callback);
        pendingRequests.put(pending.number, pending);
        pending.send(requestId);
        return pending::end;
    }

    /**
     * Processes an answer of a target's owner; ignored unless the request is pending.
     *
     * @param entry the entry that answers, not null
     * @param number the number of the request
     * @param response the answer, not null
     */
    public void onResponse(String entry, long number, AdmissionResponse response) {
        findPending(entry, number).ifPresent(pending -> pending.onResponse(response));
    }

    /**
     * Processes the answer of an entry that orders no requests; ignored unless the request is pending.
     *
     * @param entry the entry that answers, not null
     * @param number the number of the request
     * @param decision the decision, not null
     */
    public void onUnorderedAnswer(String entry, long number, Decision decision) {
        findPending(entry, number).ifPresent(pending -> {
            pending.owner = Optional.empty();
            pending.decide(decision);
        });
    }

    private Optional<PendingRequest> findPending(String entry, long number) {
        return Optional.ofNullable(pendingRequests.get(number))
                .filter(pending -> pending.owner.filter(entry::equals).isPresent());
    }

    /**
     * Processes the loss of the link to an entry, whose answers will not arrive.
     *
     * @param entry the entry, not null
     */
    public void onLinkClosed(String entry) {
        List.copyOf(pendingRequests.values()).stream()
                .filter(pending -> pending.owner.filter(entry::equals).isPresent())
                .filter(pending -> !pending.closed)
                .forEach(PendingRequest::keepToOwnBound);
    }

    /** One request, which is in the map of pending requests while its owner's answer is waited for. */
    private final class PendingRequest {
        private final long number;
        private final Target target;
        private final AdmissionRequest request;
        private final Consumer<Decision> callback;
        private final long latestAt;
        private Optional<String> owner = Optional.empty();
        private Cancellable timer = Cancellable.NOOP;
        private boolean closed;

        private PendingRequest(long number, Target target, AdmissionRequest request, Consumer<Decision> callback) {
            this.number = number;
            this.target = target;
            this.request = request;
            this.callback = callback;
            this.latestAt = clock.nanos() + request.maximumDelay().toNanos();
        }

        private RequestKey key() {
            return new RequestKey(ownership.self(), number);
        }

        private void send(String requestId) {
            owner = Optional.of(ownership.self());
            if (queues.offer(key(), requestId, target.id(), request, this::onLocalResponse)) {
                return;
            }
            owner = ownership
                    .holder(target.id())
                    .filter(entry -> !entry.equals(ownership.self()))
                    .filter(entry -> peers.requestAdmission(entry, number, target.id(), requestId, request));
            if (owner.isEmpty()) {
                keepToOwnBound();
            } else {
                restartTimer(ANSWER_TIMEOUT);
            }
        }

        private void onLocalResponse(AdmissionResponse response) {
            if (pendingRequests.containsKey(number)) {
                onResponse(response);
            }
        }

        private void restartTimer(Duration timeout) {
            timer.cancel();
            timer = timers.schedule(timeout, this::keepToOwnBound);
        }

        private void onResponse(AdmissionResponse response) {
            if (response.decision() instanceof AdmissionDecision.Queued queued) {
                restartTimer(queued.expectedDelay().plus(ANSWER_TIMEOUT));
            } else if (response.decision() instanceof AdmissionDecision.Rejected rejected) {
                owner = Optional.empty();
                decide(Decision.rejected(
                        new Rejection(rejected.retryAfter(), rejected.reason(), response.lessUrgentWait())));
            } else {
                decide(Decision.IMMEDIATE);
            }
        }

        private void decide(Decision decision) {
            pendingRequests.remove(number);
            timer.cancel();
            callback.accept(decision);
        }

        /** Waits until the prompt is within this entry's own bound, at most for what is left of the request's maximum delay. */
        private void keepToOwnBound() {
            pendingRequests.remove(number);
            timer.cancel();
            awaitOwnBound();
        }

        private void awaitOwnBound() {
            Duration latest = Duration.ofNanos(Math.max(0, latestAt - clock.nanos()));
            Duration bound = ownBound.delay(target, request.promptTokens());
            Duration delay = bound.compareTo(latest) < 0 ? bound : latest;
            if (delay.isZero()) {
                callback.accept(Decision.IMMEDIATE);
            } else {
                timer = timers.schedule(delay, this::awaitOwnBound);
            }
        }

        private void end() {
            if (closed) {
                return;
            }
            closed = true;
            pendingRequests.remove(number);
            timer.cancel();
            owner.ifPresent(entry -> {
                if (entry.equals(ownership.self())) {
                    queues.end(key(), target.id());
                } else {
                    peers.endAdmission(entry, number, target.id());
                }
            });
        }
    }
}
