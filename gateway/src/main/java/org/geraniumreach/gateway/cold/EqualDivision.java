package org.geraniumreach.gateway.cold;

import java.util.Collection;
import java.util.Objects;
import java.util.function.Supplier;

import org.geraniumreach.model.TargetId;
import org.geraniumreach.serving.routing.Rendezvous;

/**
 * Gives each entry the same part, or, where there are more entries than requests, one request to some of them.
 *
 * <p>Intended for requests that reach all entries alike. Invariant: the parts of the known entries leave room for {@link #UNKNOWN_ENTRIES_RESERVE} that have
 * been added since; an entry that does not know itself to be listed has no part. Confined to the event loop.
 */
public final class EqualDivision implements LimitDivision {

    /** Entries that may have been added without being known yet. */
    static final int UNKNOWN_ENTRIES_RESERVE = 3;

    private final String self;
    private final Supplier<? extends Collection<String>> entries;

    /**
     * Creates a division.
     *
     * @param self this entry's instance, not null
     * @param entries gives the instances of all entries that may send, whether they can be reached or not, not null
     */
    public EqualDivision(String self, Supplier<? extends Collection<String>> entries) {
        this.self = Objects.requireNonNull(self, "self");
        this.entries = Objects.requireNonNull(entries, "entries");
    }

    @Override
    public int share(TargetId target, int limit) {
        Collection<String> known = entries.get();
        if (!known.contains(self)) {
            return 0;
        }
        int whole = limit / (known.size() + UNKNOWN_ENTRIES_RESERVE);
        if (whole > 0) {
            return whole;
        }
        long own = score(target, self);
        long ahead = known.stream().filter(entry -> score(target, entry) < own).count();
        return ahead < limit - UNKNOWN_ENTRIES_RESERVE ? 1 : 0;
    }

    private static long score(TargetId target, String entry) {
        return Rendezvous.score(Rendezvous.hash(target.value()), Rendezvous.hash(entry));
    }
}
