package org.geraniumreach.gateway.crash;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.port.TargetPort;
import org.geraniumreach.gateway.port.Timers;
import org.geraniumreach.gateway.stream.StreamOrigin.TargetRun;
import org.geraniumreach.model.MonotonicClock;

/**
 * Finds out whether a target has ended after an answer of it broke off.
 *
 * <p>Answers break off for many reasons; only a target at whose address nobody listens any more has ended. A target that leaves as planned is not
 * checked. Confined to the event loop.
 */
final class TargetEndDetector {

    /** A check that takes longer tells nothing, and requests that wait for it go on. */
    static final Duration CHECK_TIMEOUT = Duration.ofMillis(200);

    /** A process that ends may close its connections shortly before it stops to listen. */
    static final Duration SECOND_CHECK_DELAY = Duration.ofMillis(30);

    /** Answers that broke off with the end of their target are all read within this time. */
    private static final Duration END_MEMORY = Duration.ofSeconds(5);

    private final TargetPort targets;
    private final Timers timers;
    private final MonotonicClock clock;
    private final Listener listener;
    private final Map<TargetRun, Check> checks = new HashMap<>();
    private final Map<TargetRun, Long> endedRuns = new LinkedHashMap<>();

    /** Receives the ends of targets. */
    @FunctionalInterface
    interface Listener {

        /** Called when a target has ended at a time while requests had not been answered there; may be called again with further requests. */
        void onEnded(TargetRun run, long at, List<BrokenRequest> requests);
    }

    /** A request whose answer broke off, and when it was sent, in nanoseconds. */
    record BrokenRequest(RequestIdentity identity, long sentAt) {}

    /** A check in progress. */
    private static final class Check {
        private final long brokenAt;
        private final List<BrokenRequest> requests = new ArrayList<>();
        private boolean repeated;

        private Check(long brokenAt) {
            this.brokenAt = brokenAt;
        }
    }

    TargetEndDetector(TargetPort targets, Timers timers, MonotonicClock clock, Listener listener) {
        this.targets = Objects.requireNonNull(targets, "targets");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /** Records that the answer of a target to a request broke off. */
    void onBroken(Target target, BrokenRequest request) {
        if (!target.acceptsRequests()) {
            return;
        }
        TargetRun run = TargetRun.of(target);
        long now = clock.nanos();
        endedRuns.values().removeIf(at -> now - at > END_MEMORY.toNanos());
        Long endedAt = endedRuns.get(run);
        if (endedAt != null) {
            listener.onEnded(run, endedAt, List.of(request));
            return;
        }
        Check running = checks.get(run);
        if (running != null) {
            running.requests.add(request);
            return;
        }
        Check check = new Check(now);
        check.requests.add(request);
        checks.put(run, check);
        timers.schedule(CHECK_TIMEOUT, () -> checks.remove(run, check));
        targets.checkEnded(target, ended -> {
            if (ended) {
                onChecked(run, check, true);
                return;
            }
            check.repeated = true;
            timers.schedule(
                    SECOND_CHECK_DELAY,
                    () -> targets.checkEnded(target, endedSince -> onChecked(run, check, endedSince)));
        });
    }

    private void onChecked(TargetRun run, Check check, boolean ended) {
        checks.remove(run, check);
        if (ended) {
            endedRuns.put(run, check.brokenAt);
            listener.onEnded(run, check.brokenAt, check.requests);
        }
    }

    /** Queries whether no check is in progress. */
    boolean isIdle() {
        return checks.isEmpty();
    }

    /**
     * Queries whether it is being found out whether a target has ended under a request.
     *
     * @param repeatedToo whether a second check counts, after the first one has found somebody listening
     */
    boolean isChecking(RequestIdentity request, boolean repeatedToo) {
        return checks.values().stream()
                .filter(check -> repeatedToo || !check.repeated)
                .flatMap(check -> check.requests.stream())
                .anyMatch(broken -> broken.identity().equals(request));
    }
}
