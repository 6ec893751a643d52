package org.geraniumreach.daemon.membership;

import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import org.geraniumreach.coordination.membership.MembershipView;
import org.geraniumreach.model.InstanceId;

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

    /**
     * Gets the last reading of the instance list.
     *
     * @return the reading, or empty if the list has not answered yet
     */
    Optional<InstanceListReading> lastReading();

    /**
     * Gets the entries that may bring a change into the log: those listed, without those that said that they leave.
     *
     * @return the entries, not null
     */
    Set<InstanceId> submittingEntries();

    /** Tells every linked peer that this process leaves and takes no new work. */
    void announceLeaving();
}
