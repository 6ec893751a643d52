package org.geraniumreach.gateway.adapter;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.traffic.AdapterName;

/**
 * Collects which adapters this entry's requests use at each target, and decides when to report them to the target's owner.
 *
 * <p>Intended for fleets in which each entry sends requests to most targets: a report is due after a change, and otherwise only to
 * renew the last one. Invariant: each request is reported exactly once as started. Confined to the event loop.
 */
public final class UsageReports {

    /** Interval at which {@link #takeDue} is to be called. */
    public static final Duration CHECK_INTERVAL = Duration.ofMillis(200);

    static final Duration RENEWAL_INTERVAL = Duration.ofSeconds(1);

    private final Map<Target, Usage> usages = new HashMap<>();

    /**
     * A report to the owner of a target.
     *
     * @param target the target
     * @param started the adapter of each request that has started since the last report
     * @param running the adapters used by running requests
     */
    public record Report(Target target, List<AdapterName> started, Set<AdapterName> running) {}

    private static final class Usage {
        private final Map<AdapterName, Integer> running = new HashMap<>();
        private final List<AdapterName> started = new ArrayList<>();
        private Set<AdapterName> lastReported = Set.of();
        private long reportedAt;

        private boolean isDue(long now) {
            boolean changed = !started.isEmpty() || !running.keySet().equals(lastReported);
            return changed || !running.isEmpty() && now - reportedAt >= RENEWAL_INTERVAL.toNanos();
        }

        private boolean isEmpty() {
            return started.isEmpty() && running.isEmpty() && lastReported.isEmpty();
        }
    }

    /**
     * Records a request that was sent to a target.
     *
     * @param target the target, not null
     * @param adapter the request's adapter, not null
     */
    public void onRequestStarted(Target target, AdapterName adapter) {
        Usage usage = usages.computeIfAbsent(target, missing -> new Usage());
        usage.running.merge(adapter, 1, Integer::sum);
        usage.started.add(adapter);
    }

    /**
     * Records the end of a request that was sent to a target.
     *
     * @param target the target, not null
     * @param adapter the request's adapter, not null
     */
    public void onRequestEnded(Target target, AdapterName adapter) {
        Usage usage = usages.get(target);
        if (usage != null) {
            usage.running.computeIfPresent(adapter, (name, count) -> count > 1 ? count - 1 : null);
        }
    }

    /**
     * Discards the usage of a target that has ended.
     *
     * @param target the target, not null
     */
    public void remove(Target target) {
        usages.remove(target);
    }

    /**
     * Returns the reports that are due and marks them as sent.
     *
     * @param now the current time, in nanoseconds
     * @return the reports, at most one per target, not null
     */
    public List<Report> takeDue(long now) {
        List<Report> reports = new ArrayList<>();
        Iterator<Map.Entry<Target, Usage>> iterator = usages.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<Target, Usage> entry = iterator.next();
            Usage usage = entry.getValue();
            if (usage.isEmpty()) {
                iterator.remove();
            } else if (usage.isDue(now)) {
                usage.lastReported = Set.copyOf(usage.running.keySet());
                usage.reportedAt = now;
                reports.add(new Report(entry.getKey(), List.copyOf(usage.started), usage.lastReported));
                usage.started.clear();
            }
        }
        return reports;
    }
}
