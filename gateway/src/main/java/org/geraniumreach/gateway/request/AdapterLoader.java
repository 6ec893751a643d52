package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.Optional;

import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.model.TargetId;

/**
 * Has adapters loaded, by this entry or by the one that holds the target.
 *
 * <p>Confined to the event loop.
 */
public interface AdapterLoader {

    /**
     * Asks that an adapter be loaded. Where that may be declined, and is, waiting exchanges are told as of a change.
     *
     * @param target where, not null
     * @param adapter the adapter, not null
     * @param untilLate after what time the request that waits for it misses its objective, below zero if it has, empty if none
     *         waits, not null
     * @param mayDecline whether the request may be declined because the target has no slot for it in time
     */
    void enqueue(Target target, AdapterName adapter, Optional<Duration> untilLate, boolean mayDecline);

    /**
     * Queries whether a target has declined to load an adapter lately.
     *
     * @param target the target, not null
     * @param adapter the adapter, not null
     * @return true if it has
     */
    boolean hasDeclined(TargetId target, AdapterName adapter);

    /**
     * Notes that a request for an adapter was sent.
     *
     * @param target where to, not null
     * @param adapter the adapter, not null
     */
    void begun(Target target, AdapterName adapter);

    /**
     * Notes that a request that was sent has ended.
     *
     * @param target where it was sent, not null
     * @param adapter the adapter, not null
     */
    void ended(Target target, AdapterName adapter);

    /**
     * Registers an exchange that waits for an adapter; it is told of each change of where the adapter is.
     *
     * @param adapter the adapter, not null
     * @param changed what to run, not null
     * @return ends the waiting, not null
     */
    Cancellable await(AdapterName adapter, Runnable changed);

    /**
     * Gets the newest version of an adapter that was named.
     *
     * @param adapter the adapter, not null
     * @return the version, 0 if none was named
     */
    long namedVersion(AdapterName adapter);

    /**
     * Gets the least version of an adapter that may still run: for a moment after a version was named, the one before.
     *
     * @param adapter the adapter, not null
     * @return the version, 0 for any
     */
    long requiredVersion(AdapterName adapter);
}
