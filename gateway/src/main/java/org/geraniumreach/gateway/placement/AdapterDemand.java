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

    private static final int PRUNING_THRESHOLD_ADAPTERS = 1_024;
    private static final double MINIMUM_KEPT_TOKENS_PER_SECOND = 1;

    private final Map<AdapterName, DemandRate> ratesByAdapter = new HashMap<>();
    private final DemandRate totalRate;

    AdapterDemand(long now) {
        this.totalRate = new DemandRate(now);
    }

    void recordRequest(AdapterName adapter, long promptTokens, long now) {
        totalRate.asked(promptTokens, now);
        if (ratesByAdapter.size() > PRUNING_THRESHOLD_ADAPTERS) {
            ratesByAdapter.values().removeIf(rate -> rate.at(now) < MINIMUM_KEPT_TOKENS_PER_SECOND);
        }
        ratesByAdapter.computeIfAbsent(adapter, missing -> new DemandRate(now)).asked(promptTokens, now);
    }

    double totalTokensPerSecond(long now) {
        return totalRate.at(now);
    }

    /**
     * Gets the rate that an adapter is asked for beside one request that was counted.
     *
     * <p>Whoever asks because of a request has seen one for certain, which says nothing of how many there are: counted, and
     * multiplied by the number of entries, it would make each rare adapter look like a common one.
     */
    double otherTokensPerSecond(AdapterName adapter, long promptTokens, long now) {
        DemandRate rate = ratesByAdapter.get(adapter);
        return rate == null ? 0 : rate.without(promptTokens, now);
    }
}
