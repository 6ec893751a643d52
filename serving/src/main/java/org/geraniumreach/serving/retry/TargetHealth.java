package org.geraniumreach.serving.retry;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.TargetId;

/**
 * Leaves targets out on evidence, and lets them back by degrees.
 *
 * <p>Invariants: a target is ejected by failures in a row or by its error rate, never by one failure; at most the allowed
 * share of the known targets is ejected together, since a fault that strikes all of them is not theirs; after its time a
 * target gets a share of the requests that rises with time, and a failure meanwhile ejects it again for twice as long.
 * Safe for use by several threads: each target is a shard under its own lock.
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
     * Makes one that knows no target.
     *
     * @param rules the rules, not null
     * @param clock the clock, not null
     * @param random the source of chance, safe for use by several threads, not null
     * @return the health, not null
     */
    public static TargetHealth create(EjectionRules rules, MonotonicClock clock, RandomGenerator random) {
        return new TargetHealth(rules, clock, random);
    }

    /** What a result meant for a target. */
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
     * Makes a target known, so that it counts when the allowed share is worked out.
     *
     * @param target the target, not null
     */
    public void add(TargetId target) {
        targets.computeIfAbsent(target, id -> new TargetRecord());
    }

    /**
     * Forgets a target that left, or whose companion is a new one.
     *
     * @param target the target, not null
     */
    public void forget(TargetId target) {
        TargetRecord gone = targets.remove(target);
        if (gone == null) {
            return;
        }
        synchronized (gone) {
            if (gone.state == State.EJECTED) {
                ejectedCount.decrementAndGet();
            }
            gone.state = State.HEALTHY;
        }
    }

    /**
     * Queries whether a request may be sent to a target; a returning one says so for a share of the calls.
     *
     * @param target the target, not null
     * @return true if it may
     */
    public boolean admits(TargetId target) {
        TargetRecord health = targets.get(target);
        if (health == null) {
            return true;
        }
        synchronized (health) {
            endElapsedEjection(health);
            return switch (health.state) {
                case HEALTHY -> true;
                case EJECTED -> false;
                case RECOVERING -> random.nextDouble() < recoveringShare(health);
            };
        }
    }

    private void endElapsedEjection(TargetRecord health) {
        long now = clock.nanos();
        if (health.state == State.EJECTED && now - health.stateSinceNanos >= health.ejectionNanos) {
            health.state = State.RECOVERING;
            health.stateSinceNanos += health.ejectionNanos;
            clearCounts(health, now);
            ejectedCount.decrementAndGet();
        }
    }

    private double recoveringShare(TargetRecord health) {
        double progress =
                (double) (clock.nanos() - health.stateSinceNanos) / rules.letBack().toNanos();
        return rules.firstShare() + (1 - rules.firstShare()) * Math.min(1, progress);
    }

    /**
     * Tells that a target answered.
     *
     * @param target the target, not null
     * @return RESTORED if the target is healthy again
     */
    public Change succeeded(TargetId target) {
        TargetRecord health = targets.computeIfAbsent(target, id -> new TargetRecord());
        synchronized (health) {
            endElapsedEjection(health);
            recordResult(health, false);
            boolean back = health.state == State.RECOVERING
                    && clock.nanos() - health.stateSinceNanos >= rules.letBack().toNanos();
            if (!back) {
                return Change.NONE;
            }
            health.state = State.HEALTHY;
            health.ejectionNanos = 0;
            return Change.RESTORED;
        }
    }

    /**
     * Tells that a target failed a request, through no fault of the request.
     *
     * @param target the target, not null
     * @return EJECTED if the target is now left out
     */
    public Change failed(TargetId target) {
        TargetRecord health = targets.computeIfAbsent(target, id -> new TargetRecord());
        synchronized (health) {
            endElapsedEjection(health);
            recordResult(health, true);
            if (health.state == State.EJECTED || !shouldEject(health) || !reserveEjection()) {
                return Change.NONE;
            }
            eject(health);
            return Change.EJECTED;
        }
    }

    private void recordResult(TargetRecord health, boolean failure) {
        long now = clock.nanos();
        if (now - health.windowStartNanos >= rules.window().toNanos()) {
            int consecutive = health.consecutiveFailures;
            clearCounts(health, now);
            health.consecutiveFailures = consecutive;
        }
        health.requests++;
        health.failures += failure ? 1 : 0;
        health.consecutiveFailures = failure ? health.consecutiveFailures + 1 : 0;
    }

    private static void clearCounts(TargetRecord health, long now) {
        health.windowStartNanos = now;
        health.requests = 0;
        health.failures = 0;
        health.consecutiveFailures = 0;
    }

    private boolean shouldEject(TargetRecord health) {
        if (health.state == State.RECOVERING || health.consecutiveFailures >= rules.consecutiveFailures()) {
            return true;
        }
        return health.requests >= rules.leastRequests() && health.failures >= rules.errorRate() * health.requests;
    }

    /*
     * A fault in front of the targets, such as this entry's own network, makes all of them fail. Ejecting them all would
     * turn a partial fault into none served; with a part of them always left in, requests that can be served are.
     */
    private boolean reserveEjection() {
        int allowed = (int) (rules.greatestEjectedShare() * targets.size());
        int before = ejectedCount.getAndUpdate(count -> count < allowed ? count + 1 : count);
        return before < allowed;
    }

    private void eject(TargetRecord health) {
        long longest = rules.longestEjection().toNanos();
        long first = rules.firstEjection().toNanos();
        health.ejectionNanos = health.ejectionNanos == 0 ? first : Math.min(longest, 2 * health.ejectionNanos);
        health.state = State.EJECTED;
        health.stateSinceNanos = clock.nanos();
    }
}
