package org.geraniumreach.gateway.division;

import java.util.Objects;
import java.util.function.Predicate;

/**
 * Gives the whole limit to the target's owner.
 *
 * <p>Intended for fleets with few requests at each entry. Invariant: two entries never have a share of one target, since ownership is exclusive and
 * changes only after the former owner's lease has expired or been released. Confined to the event loop.
 */
public final class OwnerOnlyDivision implements LimitDivision {

    private final Predicate<String> isOwned;

    /**
     * Creates a division.
     *
     * @param isOwned whether this entry owns the target with an id, not null
     */
    public OwnerOnlyDivision(Predicate<String> isOwned) {
        this.isOwned = Objects.requireNonNull(isOwned, "isOwned");
    }

    @Override
    public int share(String key, int limit) {
        return isOwned.test(key) ? limit : 0;
    }
}
