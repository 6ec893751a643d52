package org.geraniumreach.gateway.quota;

import java.util.Collection;

import org.geraniumreach.gateway.capacity.EntryCapacity;
import org.geraniumreach.model.AccountId;

/**
 * Selects the entries among which an account's rate is divided.
 *
 * <p>Intended for many entries and accounts with small rates: if a rate were divided among all entries, a share would be
 * smaller than one large request, and requests would be refused while most of the rate is unused. The other entries request
 * units from the holders. Stateless and safe for use by several threads.
 */
final class ShareHolders {

    /** With two holders, the loss of one leaves half of the rate usable until its share is taken over. */
    static final int MAX_HOLDERS = 2;

    private ShareHolders() {}

    static int holderCount(int entries) {
        return Math.min(MAX_HOLDERS, Math.max(1, entries));
    }

    static boolean isHolder(AccountId account, String self, Collection<String> entries, EntryCapacity capacity) {
        double own = capacity.rank(account.value(), self);
        long ahead = entries.stream()
                .filter(entry -> !entry.equals(self))
                .filter(entry -> ranksBefore(capacity.rank(account.value(), entry), entry, own, self))
                .count();
        return ahead < MAX_HOLDERS;
    }

    private static boolean ranksBefore(double rank, String entry, double own, String self) {
        return rank == own ? entry.compareTo(self) < 0 : rank < own;
    }
}
