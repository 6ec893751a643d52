package org.geraniumreach.gateway.division;

import java.util.Collection;
import java.util.Objects;
import java.util.function.Supplier;

import org.geraniumreach.serving.routing.Rendezvous;

/**
 * Divides the limit equally among all entries, or, if there are more entries than the limit, gives one each to some of them.
 *
 * <p>Intended for work that is spread evenly over the entries. Invariant: a share each for {@link #UNKNOWN_ENTRIES_RESERVE} entries that may
 * have been added is left unused; an entry that is not listed itself has no share. Confined to the event loop.
 */
public final class EqualDivision implements LimitDivision {

    /** Number of entries that may have been added without being known yet. */
    static final int UNKNOWN_ENTRIES_RESERVE = 3;

    private final String self;
    private final Supplier<? extends Collection<String>> entries;

    /**
     * Creates a division.
     *
     * @param self this entry's instance, not null
     * @param entries supplies the instances of all entries that may use a share, reachable or not, not null
     */
    public EqualDivision(String self, Supplier<? extends Collection<String>> entries) {
        this.self = Objects.requireNonNull(self, "self");
        this.entries = Objects.requireNonNull(entries, "entries");
    }

    @Override
    public int share(String key, int limit) {
        Collection<String> known = entries.get();
        if (!known.contains(self)) {
            return 0;
        }
        int share = limit / (known.size() + UNKNOWN_ENTRIES_RESERVE);
        if (share > 0) {
            return share;
        }
        int given = Math.max(0, limit - UNKNOWN_ENTRIES_RESERVE);
        int keyHash = Rendezvous.hash(key);
        long ownScore = score(keyHash, self);
        // Counts no further than needed: an entry asks several times a second, and there may be hundreds of entries.
        long ahead = known.stream()
                .filter(entry -> score(keyHash, entry) < ownScore)
                .limit(given)
                .count();
        return ahead < given ? 1 : 0;
    }

    private static long score(int keyHash, String entry) {
        return Rendezvous.score(keyHash, Rendezvous.hash(entry));
    }
}
