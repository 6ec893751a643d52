package org.geraniumreach.coordination.budget;

import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.geraniumreach.model.AccountId;

/**
 * The shares of one holder, by client account.
 *
 * <p>Invariant: each share is above 0 and at most the whole. Immutable and safe for use by several threads.
 */
public final class ShareSet {

    /** The set without shares. */
    public static final ShareSet EMPTY = new ShareSet(new TreeMap<>());

    private final Map<AccountId, Long> parts;

    private ShareSet(Map<AccountId, Long> parts) {
        this.parts = parts;
    }

    /**
     * Gets the accounts with a share in this set.
     *
     * @return the accounts, unmodifiable, not null
     */
    public Set<AccountId> accounts() {
        return Collections.unmodifiableSet(parts.keySet());
    }

    /**
     * Gets the share of an account.
     *
     * @param account the account, not null
     * @return its parts, 0 if there is none
     */
    public long parts(AccountId account) {
        return parts.getOrDefault(account, 0L);
    }

    /**
     * Gets a copy with the share of one account replaced.
     *
     * @param account the account, not null
     * @param newParts the new parts, 0 to remove the account
     * @return the copy, not null
     * @throws IllegalArgumentException if the parts are negative or above the whole
     */
    public ShareSet with(AccountId account, long newParts) {
        ShareParts.requireValid(newParts);
        Map<AccountId, Long> changed = new TreeMap<>(parts);
        if (newParts == 0) {
            changed.remove(account);
        } else {
            changed.put(account, newParts);
        }
        return new ShareSet(changed);
    }

    /**
     * Gets a copy with the shares of another holder added.
     *
     * @param other the other holder's shares, not null
     * @return the copy, not null
     * @throws IllegalArgumentException if a share would be above the whole
     */
    public ShareSet plus(ShareSet other) {
        ShareSet sum = this;
        for (AccountId account : other.parts.keySet()) {
            sum = sum.with(account, parts(account) + other.parts(account));
        }
        return sum;
    }

    /**
     * Gets the minimum of two sets, account by account.
     *
     * @param other the other set, not null
     * @return the smaller share of each account, not null
     */
    public ShareSet minimum(ShareSet other) {
        ShareSet minimum = EMPTY;
        for (AccountId account : parts.keySet()) {
            minimum = minimum.with(account, Math.min(parts(account), other.parts(account)));
        }
        return minimum;
    }

    public boolean isEmpty() {
        return parts.isEmpty();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ShareSet that && parts.equals(that.parts);
    }

    @Override
    public int hashCode() {
        return parts.hashCode();
    }

    @Override
    public String toString() {
        return parts.toString();
    }
}
