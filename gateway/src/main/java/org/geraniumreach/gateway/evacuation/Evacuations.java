package org.geraniumreach.gateway.evacuation;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;

import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.port.StorePort;
import org.geraniumreach.gateway.port.StorePort.OperatorItem;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.MonotonicClock;

/**
 * Tracks the failure domains that the operator has evacuated.
 *
 * <p>Intended for evacuations that take effect some seconds after they are requested. Until then the domain is {@link Phase#DRAINING}: its targets
 * still serve the adapters that no other target has loaded, while these are loaded elsewhere, so that they are not all fetched from the weight
 * store at once. Afterwards it is {@link Phase#DRAINED}, and no requests are sent there.
 *
 * <p>Invariant: a domain reaches the last phase {@link #DRAIN_FRACTION} of the limit after the last read of the store that did not show its
 * evacuation yet, or at once if there was no earlier read. Confined to the event loop.
 */
public final class Evacuations {

    /** Fraction of the limit for draining; the rest covers clock drift and requests in transit. */
    static final double DRAIN_FRACTION = 0.6;

    private final Duration drainTime;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final Map<FailureDomain, Long> drainedFrom = new HashMap<>();

    /** Which requests may be sent to a failure domain. */
    public enum Phase {
        /** The domain is not evacuated. */
        IN_USE,
        /** Only requests that no target of another domain can serve. */
        DRAINING,
        /** No requests. */
        DRAINED
    }

    /**
     * Creates a tracker with no domain evacuated.
     *
     * @param limit the time from the operator's request after which no request may reach the domain's targets, not null
     * @param clock the clock, not null
     * @param log receives decisions, not null
     */
    public Evacuations(Duration limit, MonotonicClock clock, DecisionLog log) {
        Objects.requireNonNull(limit, "limit");
        this.drainTime = Duration.ofNanos((long) (limit.toNanos() * DRAIN_FRACTION));
        this.clock = Objects.requireNonNull(clock, "clock");
        this.log = Objects.requireNonNull(log, "log");
    }

    /**
     * Starts and ends evacuations according to the operator's rows in the store.
     *
     * @param update the changed rows, or all of them, not null
     * @param previousReadAt the time of the previous read by the clock, in nanoseconds, empty if there was none, not null
     */
    public void onOperatorItems(StorePort.TableUpdate<OperatorItem> update, OptionalLong previousReadAt) {
        Set<FailureDomain> listed = new HashSet<>();
        for (OperatorItem item : update.items()) {
            if (item instanceof OperatorItem.Evacuation evacuation) {
                listed.add(evacuation.domain());
                start(evacuation.domain(), previousReadAt);
            } else if (item instanceof OperatorItem.EvacuationEnded ended) {
                listed.remove(ended.domain());
                end(ended.domain());
            }
        }
        if (update.snapshot()) {
            Set.copyOf(drainedFrom.keySet()).stream()
                    .filter(domain -> !listed.contains(domain))
                    .forEach(this::end);
        }
    }

    private void start(FailureDomain domain, OptionalLong previousReadAt) {
        if (drainedFrom.containsKey(domain)) {
            return;
        }
        long now = clock.nanos();
        long drainedAt =
                previousReadAt.isPresent() ? Math.max(now, previousReadAt.getAsLong() + drainTime.toNanos()) : now;
        drainedFrom.put(domain, drainedAt);
        log.write(
                EventCode.DOMAIN_EVACUATED,
                domain.value(),
                Field.of(
                        "readingAgeMillis", previousReadAt.isPresent() ? millis(now - previousReadAt.getAsLong()) : -1),
                Field.of("emptyInMillis", millis(drainedAt - now)));
    }

    private static long millis(long nanos) {
        return Duration.ofNanos(nanos).toMillis();
    }

    private void end(FailureDomain domain) {
        if (drainedFrom.remove(domain) != null) {
            log.write(EventCode.DOMAIN_TAKEN_BACK, domain.value());
        }
    }

    /**
     * Returns which requests may be sent to a failure domain.
     *
     * @param domain the domain, not null
     * @return the phase, not null
     */
    public Phase phase(FailureDomain domain) {
        Long drainedAt = drainedFrom.get(domain);
        if (drainedAt == null) {
            return Phase.IN_USE;
        }
        return clock.nanos() >= drainedAt ? Phase.DRAINED : Phase.DRAINING;
    }
}
