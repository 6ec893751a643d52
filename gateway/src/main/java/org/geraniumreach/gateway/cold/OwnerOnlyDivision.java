package org.geraniumreach.gateway.cold;

import java.util.Objects;
import java.util.function.Predicate;

import org.geraniumreach.model.TargetId;

/**
 * Gives all of the requests to the target's owner.
 *
 * <p>Intended for fleets with few requests at each entry. Invariant: two entries never have a part of one target, since ownership is exclusive and
 * passes on only after a lease. Confined to the event loop.
 */
public final class OwnerOnlyDivision implements LimitDivision {

    private final Predicate<TargetId> isOwned;

    /**
     * Creates a division.
     *
     * @param owned queries whether this entry owns a target now, not null
     */
    public OwnerOnlyDivision(Predicate<TargetId> owned) {
        this.isOwned = Objects.requireNonNull(owned, "owned");
    }

    @Override
    public int share(TargetId target, int limit) {
        return isOwned.test(target) ? limit : 0;
    }
}
