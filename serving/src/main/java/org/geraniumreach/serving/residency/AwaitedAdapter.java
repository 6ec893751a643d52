package org.geraniumreach.serving.residency;

import java.util.Map;
import java.util.Objects;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.AdapterReference;

/**
 * An adapter that is absent and waited for, as the choice of what to load next sees it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param adapter the adapter
 * @param waiters the requests that wait for it
 * @param tokens the tokens that these need
 * @param longestWaitNanos how long the first of them has waited
 * @param totalWaitNanos how long all of them together have waited
 * @param waitersByAccount how many of them are each client account's
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
