package org.geraniumreach.gateway.placement;

import java.util.HashMap;
import java.util.Map;

import org.geraniumreach.gateway.meter.DemandRate;
import org.geraniumreach.gateway.traffic.AdapterName;

/**
 * The prompt tokens a second that are asked of each adapter, and of all, here.
 *
 * <p>Invariant: adapters whose rate has faded are forgotten, so that a day's thousands of rare ones do not gather. Confined to the
 * event loop.
 */
final class AdapterDemand {

    private static final int LOOK_THROUGH = 1_024;
    private static final double FORGOTTEN = 1;

    private final Map<AdapterName, DemandRate> rates = new HashMap<>();
    private final DemandRate all;

    AdapterDemand(long now) {
        this.all = new DemandRate(now);
    }

    void asked(AdapterName adapter, long promptTokens, long now) {
        all.asked(promptTokens, now);
        if (rates.size() > LOOK_THROUGH) {
            rates.values().removeIf(rate -> rate.at(now) < FORGOTTEN);
        }
        rates.computeIfAbsent(adapter, missing -> new DemandRate(now)).asked(promptTokens, now);
    }

    double perSecond(long now) {
        return all.at(now);
    }

    /**
     * Gets the rate that an adapter is asked for beside one request that was counted.
     *
     * <p>Whoever asks because of a request has seen one for certain, which says nothing of how many there are: counted, and
     * multiplied by the number of entries, it would make each rare adapter look like a common one.
     */
    double perSecondBeside(AdapterName adapter, long promptTokens, long now) {
        DemandRate rate = rates.get(adapter);
        return rate == null ? 0 : rate.without(promptTokens, now);
    }
}
