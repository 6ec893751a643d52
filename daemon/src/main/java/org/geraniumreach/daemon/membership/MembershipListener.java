package org.geraniumreach.daemon.membership;

import org.geraniumreach.coordination.membership.MembershipView;

/**
 * Receives changes of the membership view.
 *
 * <p>Contract: calls come one at a time and must not block.
 */
@FunctionalInterface
public interface MembershipListener {

    /**
     * Called when the view has changed.
     *
     * @param before the previous view, not null
     * @param after the new view, not null
     */
    void onMembershipChanged(MembershipView before, MembershipView after);
}
