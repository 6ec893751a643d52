package org.geraniumreach.serving.residency;

import java.util.Map;
import java.util.Objects;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.AdapterReference;

/**
 * An absent adapter with requests waiting for it, as input to a {@link LoadScheduler}.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param adapter the adapter
 * @param waiters the number of requests that wait for it
 * @param tokens the tokens that these requests need
 * @param longestWaitNanos the waiting time of the request that has waited longest
 * @param totalWaitNanos the sum of the waiting times of all these requests
 * @param waitersByAccount the number of these requests by client account
 */
public record AwaitedAdapter(
        AdapterReference adapter,
        int waiters,
        long tokens,
        long longestWaitNanos,
        long totalWaitNanos,
        Map<AccountId, Integer> waitersByAccount) {

    public AwaitedAdapter {
        Objects.requireNonNull(adapter, "adapter");
        waitersByAccount = Map.copyOf(waitersByAccount);
    }
}
