package org.geraniumreach.daemon.membership;

import java.util.function.Supplier;

import org.geraniumreach.coordination.membership.MembershipView;

/**
 * The instances as this process sees them.
 *
 * <p>Contract: safe for use by several threads; {@link #get} never blocks.
 */
public interface MembershipService extends Supplier<MembershipView> {

    /**
     * Registers who is told of changes.
     *
     * @param listener the listener, not null
     */
    void listen(MembershipListener listener);

    /** Tells every linked peer that this process leaves and takes no new work. */
    void announceLeaving();
}
