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
 * The failure domains that the operator has evacuated.
 *
 * <p>Intended for evacuations that are announced some seconds before they bind. Until then the domain is {@link Phase#EMPTYING}: its targets
 * serve the adapters that only they hold, while these are loaded elsewhere, so that the weight store is not asked for all of them at once.
 * Afterwards it is {@link Phase#EMPTY}, and nothing is sent there.
 *
 * <p>Invariant: a domain is empty from {@link #DRAIN_FRACTION} of the limit after the last reading of the store that did not show its evacuation
 * yet; where there was no reading before, at once. Confined to the event loop.
 */
public final class Evacuations {

    /** Part of the limit that is used for emptying; the rest covers clock drift and requests on their way. */
    static final double DRAIN_FRACTION = 0.6;

    private final Duration drainTime;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final Map<FailureDomain, Long> drainedFrom = new HashMap<>();

    /** What may still be sent to a failure domain. */
    public enum Phase {
        /** It is not evacuated. */
        IN_USE,
        /** Its targets serve only what no target elsewhere can. */
        EMPTYING,
        /** Nothing may be sent there. */
        EMPTY
    }

    /**
     * Creates evacuations with no domain evacuated.
     *
     * @param limit after what time from the operator's request nothing may reach the domain's targets, not null
     * @param clock the clock, not null
     * @param log takes decisions, not null
     */
    public Evacuations(Duration limit, MonotonicClock clock, DecisionLog log) {
        Objects.requireNonNull(limit, "limit");
        this.drainTime = Duration.ofNanos((long) (limit.toNanos() * DRAIN_FRACTION));
        this.clock = Objects.requireNonNull(clock, "clock");
        this.log = Objects.requireNonNull(log, "log");
    }

    /**
     * Takes what the operator has written.
     *
     * @param news the news, not null
     * @param readBefore the moment of the reading before, by the clock, in nanoseconds, empty if there was none, not null
     */
    public void onNews(StorePort.News<OperatorItem> news, OptionalLong readBefore) {
        Set<FailureDomain> listed = new HashSet<>();
        for (OperatorItem item : news.items()) {
            if (item instanceof OperatorItem.Evacuation evacuation) {
                listed.add(evacuation.domain());
                start(evacuation.domain(), readBefore);
            } else if (item instanceof OperatorItem.EvacuationEnded ended) {
                listed.remove(ended.domain());
                end(ended.domain());
            }
        }
        if (news.whole()) {
            Set.copyOf(drainedFrom.keySet()).stream()
                    .filter(domain -> !listed.contains(domain))
                    .forEach(this::end);
        }
    }

    private void start(FailureDomain domain, OptionalLong readBefore) {
        if (drainedFrom.containsKey(domain)) {
            return;
        }
        long now = clock.nanos();
        long from = readBefore.isPresent() ? Math.max(now, readBefore.getAsLong() + drainTime.toNanos()) : now;
        drainedFrom.put(domain, from);
        log.write(
                EventCode.DOMAIN_EVACUATED,
                domain.value(),
                Field.of("readingAgeMillis", readBefore.isPresent() ? millis(now - readBefore.getAsLong()) : -1),
                Field.of("emptyInMillis", millis(from - now)));
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
     * Gets what may be sent to a failure domain now.
     *
     * @param domain the domain, not null
     * @return the phase, not null
     */
    public Phase phase(FailureDomain domain) {
        Long from = drainedFrom.get(domain);
        if (from == null) {
            return Phase.IN_USE;
        }
        return clock.nanos() >= from ? Phase.EMPTY : Phase.EMPTYING;
    }
}
