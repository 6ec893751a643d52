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
 * Decides when the owner of a target is told which adapters this entry's requests use there.
 *
 * <p>Intended for fleets in which each entry sends requests to most targets: a report is made when something changed, and otherwise
 * only to renew the last one. Invariant: between two reports of a target every request that began is counted once. Confined to the
 * event loop.
 */
public final class UsageReports {

    /** How often {@link #due} is to be called. */
    public static final Duration CHECK_INTERVAL = Duration.ofMillis(200);

    static final Duration RENEWAL_INTERVAL = Duration.ofSeconds(1);

    private final Map<Target, Usage> usages = new HashMap<>();

    /**
     * A report to a target's owner.
     *
     * @param target the target
     * @param began the adapter of each request that began since the last report
     * @param running the adapters that requests run for now
     */
    public record Report(Target target, List<AdapterName> began, Set<AdapterName> running) {}

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
     * Records that a request was sent.
     *
     * @param target where to, not null
     * @param adapter its adapter, not null
     */
    public void began(Target target, AdapterName adapter) {
        Usage usage = usages.computeIfAbsent(target, missing -> new Usage());
        usage.running.merge(adapter, 1, Integer::sum);
        usage.started.add(adapter);
    }

    /**
     * Records that a request that was sent has ended.
     *
     * @param target where it was sent, not null
     * @param adapter its adapter, not null
     */
    public void ended(Target target, AdapterName adapter) {
        Usage usage = usages.get(target);
        if (usage != null) {
            usage.running.computeIfPresent(adapter, (name, count) -> count > 1 ? count - 1 : null);
        }
    }

    /**
     * Forgets a target that is gone.
     *
     * @param target the target, not null
     */
    public void forget(Target target) {
        usages.remove(target);
    }

    /**
     * Gets the reports to be sent now, which count as sent.
     *
     * @param now the time
     * @return the reports, one for each target at most, not null
     */
    public List<Report> due(long now) {
        List<Report> reports = new ArrayList<>();
        Iterator<Map.Entry<Target, Usage>> all = usages.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<Target, Usage> each = all.next();
            Usage usage = each.getValue();
            if (usage.isEmpty()) {
                all.remove();
            } else if (usage.isDue(now)) {
                usage.lastReported = Set.copyOf(usage.running.keySet());
                usage.reportedAt = now;
                reports.add(new Report(each.getKey(), List.copyOf(usage.started), usage.lastReported));
                usage.started.clear();
            }
        }
        return reports;
    }
}
