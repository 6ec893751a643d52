package org.geraniumreach.gateway.cold;

import java.util.Objects;
import java.util.function.Predicate;

import org.geraniumreach.model.TargetId;

/**
 * Gives the whole limit to the target's owner.
 *
 * <p>Intended for fleets with few requests at each entry. Invariant: two entries never have a share of one target, since ownership is exclusive and
 * changes only after the former owner's lease has expired or been released. Confined to the event loop.
 */
public final class OwnerOnlyDivision implements LimitDivision {

    private final Predicate<TargetId> isOwned;

    /**
     * Creates a division.
     *
     * @param isOwned whether this entry owns a target, not null
     */
    public OwnerOnlyDivision(Predicate<TargetId> isOwned) {
        this.isOwned = Objects.requireNonNull(isOwned, "isOwned");
    }

    @Override
    public int share(TargetId target, int limit) {
        return isOwned.test(target) ? limit : 0;
    }
}
