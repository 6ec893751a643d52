package org.geraniumreach.daemon.membership;

import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import org.geraniumreach.coordination.membership.MembershipView;
import org.geraniumreach.model.InstanceId;

/**
 * Provides the instances known to this process.
 *
 * <p>Contract: safe for use by several threads; {@link #get} never blocks.
 */
public interface MembershipService extends Supplier<MembershipView> {

    /**
     * Registers a listener for changes of the view.
     *
     * @param listener the listener, not null
     */
    void addListener(MembershipListener listener);

    /**
     * Gets the latest reading of the instance list.
     *
     * @return the reading, or empty if the list has not answered yet
     */
    Optional<InstanceListReading> lastReading();

    /**
     * Gets the entries that may commit a change to the log: the listed ones except those that announced leaving.
     *
     * @return the entries, not null
     */
    Set<InstanceId> submittingEntries();

    /** Tells every linked peer that this process is leaving and accepts no new work. */
    void announceLeaving();
}
