package org.geraniumreach.gateway.retry;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;

import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.TargetId;

/**
 * The sendings that this entry waits for no longer, by the target that they may still reach.
 *
 * <p>Invariants: a sending is kept until its target has answered a call that was sent no earlier, or until {@link #MAXIMUM_DELIVERY_TIME} has
 * passed. The row of a target may lapse while it is paused and return, so that its removal proves nothing. Confined to the event loop.
 */
final class AbandonedSendings {

    /**
     * The longest pause of a target or a link after which a request may arrive. Longer ones are not expected of a target that goes on at all, and
     * retries that count for longer would be lost to callers after the crash of a target that never answers again.
     */
    static final Duration MAXIMUM_DELIVERY_TIME = Duration.ofSeconds(60);

    private final MonotonicClock clock;
    private final Map<TargetId, Deque<Sending>> sendings = new HashMap<>();

    AbandonedSendings(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    long now() {
        return clock.nanos();
    }

    void add(Sending sending) {
        sendings.computeIfAbsent(sending.target().id(), missing -> new ArrayDeque<>())
                .addLast(sending);
    }

    /** Resolves what was sent to a target before a call that it has answered. */
    void onAnswered(Target target, long callSentAt) {
        // Usually there are none, and each answer of a target asks.
        if (sendings.isEmpty()) {
            return;
        }
        Deque<Sending> ofTarget = sendings.get(target.id());
        if (ofTarget == null) {
            return;
        }
        resolve(ofTarget, callSentAt);
        if (ofTarget.isEmpty()) {
            sendings.remove(target.id());
        }
    }

    /** Resolves what was sent so long ago that it does not arrive any more. */
    void expire() {
        if (sendings.isEmpty()) {
            return;
        }
        long latest = clock.nanos() - MAXIMUM_DELIVERY_TIME.toNanos();
        sendings.values().forEach(ofTarget -> resolve(ofTarget, latest));
        sendings.values().removeIf(Deque::isEmpty);
    }

    /** Queries whether a sending may still reach a target. */
    boolean mayReach(Target target) {
        expire();
        return sendings.containsKey(target.id());
    }

    private static void resolve(Deque<Sending> ofTarget, long latestSentAt) {
        // Requests are abandoned after different times, so that those sent first need not come first.
        for (Iterator<Sending> each = ofTarget.iterator(); each.hasNext(); ) {
            Sending sending = each.next();
            if (sending.sentAt() <= latestSentAt) {
                each.remove();
                sending.onArrived();
            }
        }
    }
}
