package org.geraniumreach.serving.retry;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.TargetId;

/**
 * Outlier detection: ejects failing targets from routing and restores them gradually.
 *
 * <p>Invariants: a healthy target is ejected for consecutive failures or for its error rate, not for a single failure;
 * at most the allowed share of the known targets is ejected at the same time, since a failure of all targets is not
 * their own fault; after the ejection a target gets a rising share of the requests, and a failure during this time
 * ejects it again for twice as long. Safe for use by several threads: each target is a shard under its own lock.
 */
public final class TargetHealth {

    private final EjectionRules rules;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final Map<TargetId, TargetRecord> targets = new ConcurrentHashMap<>();
    private final AtomicInteger ejectedCount = new AtomicInteger();

    private TargetHealth(EjectionRules rules, MonotonicClock clock, RandomGenerator random) {
        this.rules = Objects.requireNonNull(rules, "rules");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Creates an instance without targets.
     *
     * @param rules the rules, not null
     * @param clock the clock, not null
     * @param random the random source, safe for use by several threads, not null
     * @return the instance, not null
     */
    public static TargetHealth create(EjectionRules rules, MonotonicClock clock, RandomGenerator random) {
        return new TargetHealth(rules, clock, random);
    }

    /** The effect of a request's result on a target. */
    public enum Change {
        NONE,
        EJECTED,
        RESTORED
    }

    private enum State {
        HEALTHY,
        EJECTED,
        RECOVERING
    }

    private static final class TargetRecord {
        private State state = State.HEALTHY;
        private long stateSinceNanos;
        private long ejectionNanos;
        private int consecutiveFailures;
        private int requests;
        private int failures;
        private long windowStartNanos;
    }

    /**
     * Adds a target, so that it counts towards the number of targets that may be ejected.
     *
     * @param target the target, not null
     */
    public void add(TargetId target) {
        targets.computeIfAbsent(target, id -> new TargetRecord());
    }

    /**
     * Removes a target that left or that has a new companion.
     *
     * @param target the target, not null
     */
    public void remove(TargetId target) {
        TargetRecord removed = targets.remove(target);
        if (removed == null) {
            return;
        }
        synchronized (removed) {
            if (removed.state == State.EJECTED) {
                ejectedCount.decrementAndGet();
            }
            removed.state = State.HEALTHY;
        }
    }

    /**
     * Returns whether a request may be sent to a target. A recovering target is admitted for a random share of the
     * calls.
     *
     * @param target the target, not null
     * @return true if it may be sent
     */
    public boolean admits(TargetId target) {
        TargetRecord tracked = targets.get(target);
        if (tracked == null) {
            return true;
        }
        synchronized (tracked) {
            endElapsedEjection(tracked);
            return switch (tracked.state) {
                case HEALTHY -> true;
                case EJECTED -> false;
                case RECOVERING -> random.nextDouble() < recoveringShare(tracked);
            };
        }
    }

    private void endElapsedEjection(TargetRecord tracked) {
        long now = clock.nanos();
        if (tracked.state == State.EJECTED && now - tracked.stateSinceNanos >= tracked.ejectionNanos) {
            tracked.state = State.RECOVERING;
            tracked.stateSinceNanos += tracked.ejectionNanos;
            clearCounts(tracked, now);
            ejectedCount.decrementAndGet();
        }
    }

    private double recoveringShare(TargetRecord tracked) {
        double progress = (double) (clock.nanos() - tracked.stateSinceNanos)
                / rules.letBack().toNanos();
        return rules.firstShare() + (1 - rules.firstShare()) * Math.min(1, progress);
    }

    /**
     * Called when a target has answered a request.
     *
     * @param target the target, not null
     * @return RESTORED if the target is healthy again
     */
    public Change onSuccess(TargetId target) {
        TargetRecord tracked = targets.computeIfAbsent(target, id -> new TargetRecord());
        synchronized (tracked) {
            endElapsedEjection(tracked);
            recordResult(tracked, false);
            boolean recovered = tracked.state == State.RECOVERING
                    && clock.nanos() - tracked.stateSinceNanos
                            >= rules.letBack().toNanos();
            if (!recovered) {
                return Change.NONE;
            }
            tracked.state = State.HEALTHY;
            tracked.ejectionNanos = 0;
            return Change.RESTORED;
        }
    }

    /**
     * Called when a target has failed a request and the request itself was not the cause.
     *
     * @param target the target, not null
     * @return EJECTED if the target is now ejected
     */
    public Change onFailure(TargetId target) {
        TargetRecord tracked = targets.computeIfAbsent(target, id -> new TargetRecord());
        synchronized (tracked) {
            endElapsedEjection(tracked);
            recordResult(tracked, true);
            if (tracked.state == State.EJECTED || !shouldEject(tracked) || !reserveEjection()) {
                return Change.NONE;
            }
            eject(tracked);
            return Change.EJECTED;
        }
    }

    private void recordResult(TargetRecord tracked, boolean failed) {
        long now = clock.nanos();
        if (now - tracked.windowStartNanos >= rules.window().toNanos()) {
            int consecutiveFailures = tracked.consecutiveFailures;
            clearCounts(tracked, now);
            tracked.consecutiveFailures = consecutiveFailures;
        }
        tracked.requests++;
        tracked.failures += failed ? 1 : 0;
        tracked.consecutiveFailures = failed ? tracked.consecutiveFailures + 1 : 0;
    }

    private static void clearCounts(TargetRecord tracked, long now) {
        tracked.windowStartNanos = now;
        tracked.requests = 0;
        tracked.failures = 0;
        tracked.consecutiveFailures = 0;
    }

    private boolean shouldEject(TargetRecord tracked) {
        if (tracked.state == State.RECOVERING || tracked.consecutiveFailures >= rules.consecutiveFailures()) {
            return true;
        }
        return tracked.requests >= rules.leastRequests() && tracked.failures >= rules.errorRate() * tracked.requests;
    }

    /*
     * A failure in front of the targets, such as in this entry's own network, makes all of them seem to fail. Ejecting
     * them all would turn a partial failure into a complete one; with some always admitted, requests can still be
     * served.
     */
    private boolean reserveEjection() {
        int maximumEjected = (int) (rules.greatestEjectedShare() * targets.size());
        int ejectedBefore = ejectedCount.getAndUpdate(count -> count < maximumEjected ? count + 1 : count);
        return ejectedBefore < maximumEjected;
    }

    private void eject(TargetRecord tracked) {
        long longestNanos = rules.longestEjection().toNanos();
        long firstNanos = rules.firstEjection().toNanos();
        tracked.ejectionNanos =
                tracked.ejectionNanos == 0 ? firstNanos : Math.min(longestNanos, 2 * tracked.ejectionNanos);
        tracked.state = State.EJECTED;
        tracked.stateSinceNanos = clock.nanos();
    }
}
