package org.geraniumreach.daemon.membership;

import org.geraniumreach.coordination.membership.MembershipView;

/**
 * Is told when the membership view changes.
 *
 * <p>Contract: calls come one at a time and must not block.
 */
@FunctionalInterface
public interface MembershipListener {

    /**
     * Tells of a new view.
     *
     * @param before the view until now, not null
     * @param after the view from now on, not null
     */
    void onMembershipChanged(MembershipView before, MembershipView after);
}
