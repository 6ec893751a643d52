package org.geraniumreach.serving.routing;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.TargetId;

/**
 * An entry's state of one target: the last status report and the requests sent since.
 *
 * <p>Invariants: a request that this entry sent counts once, in the companion's report, in {@link #unaccepted} or in
 * {@link #acceptedSinceReport}; a companion's frames arrive in order over one link, so a Status that follows an
 * Accepted already includes that request. Safe for use by several threads: the report is replaced under this object's
 * lock, the counts are atomic.
 */
final class TrackedTarget {

    private static final Report NO_REPORT = new Report(-1, 0, 0, 0, 0, 0, 0, Set.of(), Set.of(), false, 0, 0);

    private final TargetId target;
    private final InstanceId instance;
    private final FailureDomain failureDomain;
    private final Offering offering;
    private final int slots;
    private final int hash;
    private final AtomicInteger unaccepted = new AtomicInteger();
    private final AtomicInteger acceptedSinceReport = new AtomicInteger();
    private volatile Report report = NO_REPORT;

    TrackedTarget(TargetId target, InstanceId instance, FailureDomain failureDomain, Offering offering, int slots) {
        this.target = target;
        this.instance = instance;
        this.failureDomain = failureDomain;
        this.offering = offering;
        this.slots = slots;
        this.hash = Rendezvous.hash(target.value());
    }

    /** The last status report, with deltas merged into the full set of resident adapters. */
    record Report(
            long sequence,
            long engineIncarnation,
            int running,
            int queued,
            long queuedTokens,
            int concurrencyLimit,
            int slots,
            Set<AdapterReference> resident,
            Set<AdapterReference> loading,
            boolean draining,
            double tokensPerSecond,
            long receivedNanos) {}

    /** The reports before and after an update. */
    record Change(Report before, Report after) {}

    /**
     * Applies a status report.
     *
     * @param status the report
     * @param nowNanos the current time
     * @return the change, or null if the report is outdated
     */
    synchronized Change apply(TargetStatus status, long nowNanos) {
        Report before = report;
        if (before != NO_REPORT && status.sequence() <= before.sequence && !status.complete()) {
            return null;
        }
        Report after = new Report(
                status.sequence(),
                status.engineIncarnation(),
                status.running(),
                status.queued(),
                status.queuedTokens(),
                status.concurrencyLimit(),
                status.slots(),
                residency(before, status),
                status.loading(),
                status.draining(),
                status.tokensPerSecond(),
                nowNanos);
        report = after;
        acceptedSinceReport.set(0);
        return new Change(before, after);
    }

    /*
     * A restarted engine holds no adapters. Without the check on the incarnation, the first delta after the restart
     * would be merged into a set of adapters that are gone, and requests would wait there for loads that other targets
     * could avoid.
     */
    private static Set<AdapterReference> residency(Report before, TargetStatus status) {
        if (status.complete() || before.engineIncarnation != status.engineIncarnation()) {
            return status.resident();
        }
        if (status.resident().isEmpty() && status.removed().isEmpty()) {
            return before.resident;
        }
        Set<AdapterReference> resident = new HashSet<>(before.resident);
        resident.removeAll(status.removed());
        resident.addAll(status.resident());
        return Set.copyOf(resident);
    }

    TargetView view(long nowNanos) {
        Report current = report;
        return new TargetView(
                target,
                instance,
                failureDomain,
                offering,
                current == NO_REPORT ? slots : current.slots,
                current.running,
                current.queued,
                unaccepted.get() + acceptedSinceReport.get(),
                Math.max(1, current.concurrencyLimit),
                current.resident,
                current.loading,
                current == NO_REPORT ? Long.MAX_VALUE : nowNanos - current.receivedNanos,
                current.draining);
    }

    TargetId target() {
        return target;
    }

    InstanceId instance() {
        return instance;
    }

    Offering offering() {
        return offering;
    }

    int hash() {
        return hash;
    }

    FailureDomain failureDomain() {
        return failureDomain;
    }

    double relativeLoad() {
        Report current = report;
        int load = current.running + current.queued + unaccepted.get() + acceptedSinceReport.get();
        return Math.max(0.0, load) / Math.max(1, current.concurrencyLimit);
    }

    int concurrencyLimit() {
        return Math.max(1, report.concurrencyLimit);
    }

    boolean isDraining() {
        return report.draining;
    }

    Report report() {
        return report;
    }

    void onSent() {
        unaccepted.incrementAndGet();
    }

    void onAccepted() {
        unaccepted.decrementAndGet();
        acceptedSinceReport.incrementAndGet();
    }

    void onEndedUnaccepted() {
        unaccepted.decrementAndGet();
    }

    void onEndedAccepted() {
        acceptedSinceReport.decrementAndGet();
    }
}
