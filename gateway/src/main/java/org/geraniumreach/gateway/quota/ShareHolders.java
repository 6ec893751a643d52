package org.geraniumreach.gateway.quota;

import java.util.Collection;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.serving.routing.Rendezvous;

/**
 * Selects the entries among which an account's rate is divided.
 *
 * <p>Intended for many entries before accounts of small rates: divided among all of them, a share would be less than one large
 * request, and requests would be refused while most of the rate is unused. The other entries ask the holders. Stateless and safe for
 * use by several threads.
 */
final class ShareHolders {

    /** With two, the loss of one leaves half of the rate until its share is taken over. */
    static final int MOST = 2;

    private ShareHolders() {}

    static int count(int entries) {
        return Math.min(MOST, Math.max(1, entries));
    }

    static boolean isHolder(AccountId account, String self, Collection<String> entries) {
        long own = rank(account, self);
        long ahead = entries.stream()
                .filter(entry -> !entry.equals(self))
                .filter(entry -> isAhead(account, entry, own, self))
                .count();
        return ahead < MOST;
    }

    private static boolean isAhead(AccountId account, String entry, long own, String self) {
        long rank = rank(account, entry);
        return rank == own ? entry.compareTo(self) < 0 : rank < own;
    }

    private static long rank(AccountId account, String entry) {
        return Rendezvous.hash(account.value() + ' ' + entry);
    }
}
