package org.geraniumreach.gateway.retry;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.TargetId;

/**
 * The sendings that this entry waits for no longer, by the target that they may still reach.
 *
 * <p>Invariants: a sending is kept until its target has answered a call that was sent no earlier, or until {@link #MAXIMUM_DELIVERY_TIME} has
 * passed. The row of a target may lapse while it is paused and return, so that its removal proves nothing. At most one sending of this entry is
 * under way as a trial to a target that may be reached by others. Confined to the event loop.
 */
final class AbandonedSendings {

    /**
     * The longest pause of a target or a link after which a request may arrive. Longer ones are not expected of a target that goes on at all, and
     * retries that count for longer would be lost to callers after the crash of a target that never answers again.
     */
    static final Duration MAXIMUM_DELIVERY_TIME = Duration.ofSeconds(60);

    private final MonotonicClock clock;
    private final Map<TargetId, TargetSendings> sendings = new HashMap<>();

    /** The abandoned sendings to one target, and those since, whose answers resolve them. */
    private static final class TargetSendings {
        private final Deque<Sending> abandoned = new ArrayDeque<>();
        private final List<Sending> trials = new ArrayList<>();
        private long lastAbandonedAt;

        private boolean isTried() {
            trials.removeIf(sending -> !sending.isUnderWay());
            return !trials.isEmpty();
        }
    }

    AbandonedSendings(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    long now() {
        return clock.nanos();
    }

    void add(Sending sending) {
        TargetSendings ofTarget = sendings.computeIfAbsent(sending.target().id(), missing -> new TargetSendings());
        ofTarget.abandoned.addLast(sending);
        ofTarget.lastAbandonedAt = clock.nanos();
    }

    /** Records a sending that begins. */
    void onSent(Sending sending) {
        Optional.ofNullable(sendings.get(sending.target().id())).ifPresent(ofTarget -> ofTarget.trials.add(sending));
    }

    /** Resolves what was sent to a target before a call that it has answered. */
    void onAnswered(Target target, long callSentAt) {
        // Usually there are none, and each answer of a target asks.
        if (sendings.isEmpty()) {
            return;
        }
        TargetSendings ofTarget = sendings.get(target.id());
        if (ofTarget == null) {
            return;
        }
        resolve(ofTarget.abandoned, callSentAt);
        if (ofTarget.abandoned.isEmpty()) {
            sendings.remove(target.id());
        }
    }

    /** Resolves what was sent so long ago that it does not arrive any more. */
    void expire() {
        if (sendings.isEmpty()) {
            return;
        }
        long latest = clock.nanos() - MAXIMUM_DELIVERY_TIME.toNanos();
        sendings.values().forEach(ofTarget -> resolve(ofTarget.abandoned, latest));
        sendings.values().removeIf(ofTarget -> ofTarget.abandoned.isEmpty());
    }

    /** Queries whether sendings may still reach a target, and none may be added as a trial. */
    boolean mayAccumulate(Target target) {
        expire();
        return Optional.ofNullable(sendings.get(target.id()))
                .filter(ofTarget -> !mayTry(target, ofTarget))
                .isPresent();
    }

    /** A target that has run since is unlikely to be paused; if its link is down all the same, the trial finds that out alone. */
    private static boolean mayTry(Target target, TargetSendings ofTarget) {
        return !ofTarget.isTried()
                && (target.lastHeardAt() - ofTarget.lastAbandonedAt > 0
                        || target.confirmedAt() - ofTarget.lastAbandonedAt > 0);
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
