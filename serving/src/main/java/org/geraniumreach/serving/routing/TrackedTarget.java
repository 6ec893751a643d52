package org.geraniumreach.serving.routing;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.TargetId;

/**
 * What an entry keeps of one target.
 *
 * <p>Invariants: a request that this entry sent counts once, either in the companion's report or in {@link #unreported}; a
 * companion's frames come in order over one link, so a Status that follows an Accepted already holds that request. Safe for
 * use by several threads: the report is swapped under this object's lock, the counts are atomic.
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

    /** The last news of the target, with residency made whole. */
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

    /** Residency before and after a change. */
    record Change(Report before, Report after) {}

    /**
     * Takes news in.
     *
     * @param status the news
     * @param nowNanos the time
     * @return what changed, or null if the news is older than what is known
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
     * An engine that restarted holds nothing. Without the check on the incarnation, a delta that follows the restart would
     * be added to adapters that are gone, and requests would be sent to wait for loads that other targets need not make.
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
        Report now = report;
        return new TargetView(
                target,
                instance,
                failureDomain,
                offering,
                now == NO_REPORT ? slots : now.slots,
                now.running,
                now.queued,
                unaccepted.get() + acceptedSinceReport.get(),
                Math.max(1, now.concurrencyLimit),
                now.resident,
                now.loading,
                now == NO_REPORT ? Long.MAX_VALUE : nowNanos - now.receivedNanos,
                now.draining);
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
        Report now = report;
        int load = now.running + now.queued + unaccepted.get() + acceptedSinceReport.get();
        return Math.max(0.0, load) / Math.max(1, now.concurrencyLimit);
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
