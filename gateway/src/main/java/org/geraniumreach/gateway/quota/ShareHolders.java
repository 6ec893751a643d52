package org.geraniumreach.gateway.quota;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.geraniumreach.gateway.capacity.EntryCapacity;
import org.geraniumreach.model.AccountId;

/**
 * Selects the entries among which an account's rate is divided.
 *
 * <p>Intended for many entries and accounts with small rates: if a rate were divided among all entries, a share would be
 * smaller than one large request, and requests would be refused while most of the rate is unused. The other entries request
 * units from the holders.
 *
 * <p>Invariant: an entry is ranked once for each account until its capacity changes, since with hundreds of entries and thousands of
 * accounts a ranking of all takes longer than peers wait for an answer. Confined to the event loop.
 */
final class ShareHolders {

    /** With two holders, the loss of one leaves half of the rate usable until its share is taken over. */
    static final int MAX_HOLDERS = 2;

    private final String self;
    private final Map<AccountId, Integer> entriesAhead = new HashMap<>();
    private Map<String, Double> capacities = Map.of();
    private EntryCapacity capacity = EntryCapacity.uniform();

    /** Creates an instance for an entry that knows no others. */
    ShareHolders(String self) {
        this.self = Objects.requireNonNull(self, "self");
    }

    static int holderCount(int entries) {
        return Math.min(MAX_HOLDERS, Math.max(1, entries));
    }

    /** Sets the entries, including this one, and their capacities. */
    void setEntries(Collection<String> entries, EntryCapacity newCapacity) {
        Map<String, Double> previous = capacities;
        Map<String, Double> current = new HashMap<>();
        entries.forEach(entry -> current.put(entry, newCapacity.of(entry)));
        current.put(self, newCapacity.of(self));
        capacities = current;
        capacity = newCapacity;
        if (!current.get(self).equals(previous.get(self))) {
            entriesAhead.clear();
            return;
        }
        List<String> removed = differences(previous, current);
        List<String> added = differences(current, previous);
        if (!removed.isEmpty() || !added.isEmpty()) {
            entriesAhead.replaceAll((account, ahead) ->
                    ahead - countAhead(account, removed, previous::get) + countAhead(account, added, newCapacity));
        }
    }

    /** Gets the entries that are in the first map with another capacity than in the second one. */
    private static List<String> differences(Map<String, Double> one, Map<String, Double> other) {
        List<String> entries = new ArrayList<>();
        one.forEach((entry, value) -> {
            if (!value.equals(other.get(entry))) {
                entries.add(entry);
            }
        });
        return entries;
    }

    /** Forgets all accounts but these. */
    void retainAccounts(Set<AccountId> accounts) {
        entriesAhead.keySet().retainAll(accounts);
    }

    /** Queries whether this entry holds a share of an account's rate. */
    boolean isHolder(AccountId account) {
        return entriesAhead.computeIfAbsent(account, missing -> countAhead(missing, capacities.keySet(), capacity))
                < MAX_HOLDERS;
    }

    private int countAhead(AccountId account, Collection<String> entries, EntryCapacity ofEntries) {
        return ofEntries.countAhead(account.value(), self, entries);
    }
}
