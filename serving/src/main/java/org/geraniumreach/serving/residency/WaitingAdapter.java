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
 * @param work the tokens that these need
 * @param oldestNanos how long the first of them has waited
 * @param totalNanos how long all of them together have waited
 * @param accounts how many of them are each client account's
 */
public record WaitingAdapter(
        AdapterReference adapter,
        int waiters,
        long work,
        long oldestNanos,
        long totalNanos,
        Map<AccountId, Integer> accounts) {

    public WaitingAdapter {
        Objects.requireNonNull(adapter, "adapter");
        accounts = Map.copyOf(accounts);
    }
}
