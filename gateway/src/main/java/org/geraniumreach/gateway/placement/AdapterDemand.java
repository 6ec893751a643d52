package org.geraniumreach.gateway.placement;

import java.util.HashMap;
import java.util.Map;

import org.geraniumreach.gateway.meter.DemandRate;
import org.geraniumreach.gateway.traffic.AdapterName;

/**
 * Tracks the rate of prompt tokens that this entry receives for each adapter and for all adapters together.
 *
 * <p>Invariant: adapters whose rate has decayed are removed, so that the thousands of rarely used adapters do not
 * accumulate. Confined to the event loop.
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
        totalRate.add(promptTokens, now);
        if (ratesByAdapter.size() > PRUNING_THRESHOLD_ADAPTERS) {
            ratesByAdapter.values().removeIf(rate -> rate.rateAt(now) < MINIMUM_KEPT_TOKENS_PER_SECOND);
        }
        ratesByAdapter.computeIfAbsent(adapter, missing -> new DemandRate(now)).add(promptTokens, now);
    }

    double totalTokensPerSecond(long now) {
        return totalRate.rateAt(now);
    }

    /**
     * Gets the rate of an adapter without the request that is being placed, which has been recorded already.
     *
     * <p>The request being placed says nothing about the adapter's rate. Multiplied by the number of entries it would
     * make each rare adapter look like a popular one.
     */
    double otherTokensPerSecond(AdapterName adapter, long promptTokens, long now) {
        DemandRate rate = ratesByAdapter.get(adapter);
        return rate == null ? 0 : rate.rateExcluding(promptTokens, now);
    }
}
