package org.geraniumreach.gateway.admission;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The prefill time, the slots and the memory of one target, and the admitted requests that use them.
 *
 * <p>Invariants: admitted requests that have not ended never exceed the slots or the memory, except for a single request that is larger than
 * the memory; their prefill times keep to the limits of {@link PromptPacer}. What is unknown does not limit. Confined to the event loop.
 */
final class TargetCapacity {

    /** Targets report with each answer, many times a second, so an older report is out of date. */
    static final Duration REPORT_LIFETIME = Duration.ofSeconds(1);

    /** The weight of the latest holding time in the mean, which covers about twenty requests. */
    private static final double HOLDING_TIME_WEIGHT = 0.05;

    /** Longer delays would overflow sums of times in nanoseconds. */
    private static final Duration LONGEST_DELAY = Duration.ofDays(1);

    private final AdmissionSettings settings;
    private final PromptPacer pacer = new PromptPacer();
    private final Map<Long, Admission> admitted = new LinkedHashMap<>();
    private long usedTokens;
    private int otherRequests;
    private long reportedAt;
    private double meanHoldingNanos;

    TargetCapacity(AdmissionSettings settings) {
        this.settings = settings;
    }

    /** What a request needs. */
    record Demand(Duration prefillTime, long tokens) {}

    private record Admission(long admittedAt, long tokens) {}

    boolean isAdmitted(long id) {
        return admitted.containsKey(id);
    }

    boolean canStart(Demand demand, long now) {
        return pacer.earliestStart(now) <= now && hasSlot(now) && hasMemory(demand);
    }

    private boolean hasSlot(long now) {
        return settings.slots().isEmpty()
                || occupiedSlots(now) < settings.slots().getAsInt();
    }

    private int occupiedSlots(long now) {
        return admitted.size() + (now - reportedAt <= REPORT_LIFETIME.toNanos() ? otherRequests : 0);
    }

    private boolean hasMemory(Demand demand) {
        return settings.memoryTokens().isEmpty()
                || admitted.isEmpty()
                || demand.tokens() <= settings.memoryTokens().getAsLong() - usedTokens;
    }

    void admit(long id, Demand demand, long now) {
        admitted.put(id, new Admission(now, demand.tokens()));
        usedTokens += demand.tokens();
        pacer.recordPrompt(demand.prefillTime(), now);
    }

    void end(long id, long now) {
        Admission ended = admitted.remove(id);
        if (ended == null) {
            return;
        }
        usedTokens -= ended.tokens();
        double holding = now - ended.admittedAt();
        meanHoldingNanos =
                meanHoldingNanos == 0 ? holding : meanHoldingNanos + HOLDING_TIME_WEIGHT * (holding - meanHoldingNanos);
    }

    /** Forgets admitted requests whose ends have not been reported for too long. */
    void forgetExpired(long now) {
        Iterator<Admission> oldest = admitted.values().iterator();
        while (oldest.hasNext()) {
            Admission admission = oldest.next();
            if (now < expiry(admission)) {
                return;
            }
            usedTokens -= admission.tokens();
            oldest.remove();
        }
    }

    private long expiry(Admission admission) {
        return admission.admittedAt() + settings.admittedLifetime().toNanos();
    }

    void reportLoad(int requests, long now) {
        otherRequests = Math.max(0, requests - admitted.size());
        reportedAt = now;
    }

    /** Returns when a waiting request may start if no admitted request ends, empty if that does not depend on time alone. */
    OptionalLong nextChangeAt(long now) {
        long next = Long.MAX_VALUE;
        if (pacer.earliestStart(now) > now) {
            next = pacer.earliestStart(now);
        }
        if (!admitted.isEmpty()) {
            next = Math.min(next, expiry(admitted.values().iterator().next()));
        }
        if (otherRequests > 0 && now - reportedAt <= REPORT_LIFETIME.toNanos()) {
            next = Math.min(next, reportedAt + REPORT_LIFETIME.toNanos() + 1);
        }
        return next == Long.MAX_VALUE ? OptionalLong.empty() : OptionalLong.of(next);
    }

    Projection project(long now) {
        return new Projection(now);
    }

    /**
     * The expected starts of requests that start one after the other.
     *
     * <p>Slots and memory are expected to become free evenly, all of them within the mean time for which requests hold them.
     */
    final class Projection {

        private final long now;
        private final PromptPacer projectedPacer = pacer.copy();
        private long startedAt;
        private long startedRequests;
        private double startedTokens;

        private Projection(long now) {
            this.now = now;
            this.startedAt = now;
        }

        long startOf(Demand demand) {
            long afterSlots = now + delay(occupiedSlots(now) + startedRequests + 1, slots());
            double neededTokens = Math.min(demand.tokens(), memory());
            long afterMemory = now + delay(usedTokens + startedTokens + neededTokens, memory());
            long afterPrefill = projectedPacer.earliestStart(startedAt);
            return Math.max(afterPrefill, Math.max(afterSlots, afterMemory));
        }

        private double slots() {
            return settings.slots().isPresent() ? settings.slots().getAsInt() : Double.POSITIVE_INFINITY;
        }

        private double memory() {
            return settings.memoryTokens().isPresent() ? settings.memoryTokens().getAsLong() : Double.POSITIVE_INFINITY;
        }

        private long delay(double needed, double available) {
            double delay = Math.max(0, needed - available) / available * meanHoldingNanos;
            return (long) Math.min(delay, LONGEST_DELAY.toNanos());
        }

        void start(Demand demand) {
            startedAt = startOf(demand);
            projectedPacer.recordPrompt(demand.prefillTime(), startedAt);
            startedRequests++;
            startedTokens += Math.min(demand.tokens(), memory());
        }
    }
}
