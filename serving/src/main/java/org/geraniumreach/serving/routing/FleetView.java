package org.geraniumreach.serving.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.model.record.Target;

/**
 * One entry's view of all targets, built from the companions' status reports and the entry's own requests.
 *
 * <p>Invariants: a target is a member of its offering from {@link #join} until {@link #leave}, unless it is draining;
 * an adapter's holders are exactly the targets whose last report lists it as resident. Safe for use by several threads:
 * each target is a shard under its own lock, and members are replaced as a whole.
 */
public final class FleetView {

    private static final Members NO_MEMBERS = new Members(0, new TrackedTarget[0]);
    private static final TrackedTarget[] NO_TARGETS = {};

    private final MonotonicClock clock;
    private final Map<TargetId, TrackedTarget> targets = new ConcurrentHashMap<>();
    private final Map<Offering, Members> members = new ConcurrentHashMap<>();
    private final Map<AdapterReference, TrackedTarget[]> holders = new ConcurrentHashMap<>();
    private final AtomicInteger pendingLoads = new AtomicInteger();
    private final Object membershipLock = new Object();
    private long generation;

    private FleetView(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** The targets of an offering that accept requests; the generation changes whenever they do. */
    record Members(long generation, TrackedTarget[] targets) {}

    /**
     * Creates a view without targets.
     *
     * @param clock the clock, not null
     * @return the view, not null
     */
    public static FleetView create(MonotonicClock clock) {
        return new FleetView(clock);
    }

    /**
     * Adds a target when the link to its companion opens, replacing an earlier entry for the same target.
     *
     * @param record the target's record, not null
     * @param instance its companion's instance, not null
     */
    public void join(Target record, InstanceId instance) {
        TrackedTarget tracked =
                new TrackedTarget(record.id(), instance, record.failureDomain(), Offering.of(record), record.slots());
        synchronized (membershipLock) {
            leave(record.id());
            targets.put(record.id(), tracked);
            refreshMembers(tracked.offering());
        }
    }

    /**
     * Removes a target when it leaves or its companion becomes unreachable.
     *
     * @param target the target, not null
     */
    public void leave(TargetId target) {
        synchronized (membershipLock) {
            TrackedTarget removed = targets.remove(target);
            if (removed == null) {
                return;
            }
            synchronized (removed) {
                removeReported(removed, removed.report());
            }
            refreshMembers(removed.offering());
        }
    }

    /**
     * Applies a companion's status report. A report on an unknown target, or an outdated one, is ignored.
     *
     * @param status the report, not null
     * @return true if the report was applied
     */
    public boolean apply(TargetStatus status) {
        TrackedTarget tracked = targets.get(status.target());
        if (tracked == null) {
            return false;
        }
        synchronized (tracked) {
            TrackedTarget.Change change = tracked.apply(status, clock.nanos());
            if (change == null || targets.get(status.target()) != tracked) {
                return false;
            }
            updateHolders(tracked, change);
            if (change.before().draining() == change.after().draining()) {
                return true;
            }
        }
        synchronized (membershipLock) {
            refreshMembers(tracked.offering());
        }
        return true;
    }

    private void updateHolders(TrackedTarget tracked, TrackedTarget.Change change) {
        pendingLoads.addAndGet(
                change.after().loading().size() - change.before().loading().size());
        if (change.before().resident() == change.after().resident()) {
            return;
        }
        for (AdapterReference adapter : change.before().resident()) {
            if (!change.after().resident().contains(adapter)) {
                removeHolder(adapter, tracked);
            }
        }
        for (AdapterReference adapter : change.after().resident()) {
            if (!change.before().resident().contains(adapter)) {
                addHolder(adapter, tracked);
            }
        }
    }

    private void removeReported(TrackedTarget removed, TrackedTarget.Report last) {
        last.resident().forEach(adapter -> removeHolder(adapter, removed));
        pendingLoads.addAndGet(-last.loading().size());
    }

    private void addHolder(AdapterReference adapter, TrackedTarget tracked) {
        holders.compute(adapter, (key, current) -> {
            TrackedTarget[] updated =
                    current == null ? new TrackedTarget[1] : Arrays.copyOf(current, current.length + 1);
            updated[updated.length - 1] = tracked;
            return updated;
        });
    }

    private void removeHolder(AdapterReference adapter, TrackedTarget tracked) {
        holders.computeIfPresent(adapter, (key, current) -> {
            List<TrackedTarget> updated = new ArrayList<>(List.of(current));
            updated.remove(tracked);
            return updated.isEmpty() ? null : updated.toArray(new TrackedTarget[0]);
        });
    }

    private void refreshMembers(Offering offering) {
        TrackedTarget[] accepting = targets.values().stream()
                .filter(target -> target.offering().equals(offering) && !target.isDraining())
                .sorted(Comparator.comparing(TrackedTarget::target))
                .toArray(TrackedTarget[]::new);
        members.put(offering, new Members(++generation, accepting));
    }

    /**
     * Records that this entry sends a request, so that it counts towards the target's load before the target reports
     * it.
     *
     * @param target the target, not null
     * @return the handle that the caller notifies of the request's progress, not null
     */
    public SentRequest recordSent(TargetId target) {
        TrackedTarget tracked = targets.get(target);
        return tracked == null ? SentRequest.untracked() : SentRequest.to(tracked);
    }

    /**
     * Finds a target.
     *
     * @param target the target, not null
     * @return its current state, or empty if it is unknown
     */
    public Optional<TargetView> find(TargetId target) {
        return Optional.ofNullable(targets.get(target)).map(tracked -> tracked.view(clock.nanos()));
    }

    /**
     * Gets the targets of an offering that accept requests.
     *
     * @param offering the offering, not null
     * @return their current states, ordered by name, not null
     */
    public List<TargetView> views(Offering offering) {
        long now = clock.nanos();
        List<TargetView> views = new ArrayList<>();
        for (TrackedTarget tracked : members(offering).targets()) {
            views.add(tracked.view(now));
        }
        return views;
    }

    /**
     * Gets the number of adapter loads in progress or waiting at all targets, according to their last reports.
     *
     * @return the number, not negative
     */
    public int pendingLoads() {
        return Math.max(0, pendingLoads.get());
    }

    Members members(Offering offering) {
        return members.getOrDefault(offering, NO_MEMBERS);
    }

    TrackedTarget[] holders(AdapterReference adapter) {
        return holders.getOrDefault(adapter, NO_TARGETS);
    }

    TrackedTarget tracked(TargetId target) {
        return targets.get(target);
    }

    long nowNanos() {
        return clock.nanos();
    }
}
