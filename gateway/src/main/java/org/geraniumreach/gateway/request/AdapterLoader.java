package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.priority.RequestPriority;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.model.TargetId;

/**
 * Orders adapter loads at targets, directly or through the entry that owns the target.
 *
 * <p>Confined to the event loop.
 */
public interface AdapterLoader {

    /**
     * Requests the load of an adapter at a target. If the load is declined, waiting exchanges are notified as of a
     * change.
     *
     * @param target the target, not null
     * @param adapter the adapter, not null
     * @param untilLate the time until the waiting request misses its objective, negative if it has, empty if no request
     *         waits, not null
     * @param mayDecline whether the load may be declined because the target has no slot for it in time
     */
    void enqueue(Target target, AdapterName adapter, Optional<Duration> untilLate, boolean mayDecline);

    /**
     * Requests the load of an adapter at a target, as {@link #enqueue(Target, AdapterName, Optional, boolean)} does, with the priority
     * of the waiting request.
     *
     * @param target the target, not null
     * @param adapter the adapter, not null
     * @param untilLate the time until the waiting request misses its objective, negative if it has, empty if no request
     *         waits, not null
     * @param mayDecline whether the load may be declined because the target has no slot for it in time
     * @param priority the priority of the waiting request, not null
     */
    default void enqueue(
            Target target,
            AdapterName adapter,
            Optional<Duration> untilLate,
            boolean mayDecline,
            RequestPriority priority) {
        enqueue(target, adapter, untilLate, mayDecline);
    }

    /**
     * Queries whether a target has recently declined to load an adapter.
     *
     * @param target the target, not null
     * @param adapter the adapter, not null
     * @return true if it has
     */
    boolean hasDeclined(TargetId target, AdapterName adapter);

    /**
     * Called when a request for an adapter was sent.
     *
     * @param target the target, not null
     * @param adapter the adapter, not null
     */
    void onRequestSent(Target target, AdapterName adapter);

    /**
     * Called when a request that was sent has ended.
     *
     * @param target the target, not null
     * @param adapter the adapter, not null
     */
    void onRequestEnded(Target target, AdapterName adapter);

    /**
     * Registers a callback for changes of the targets at which an adapter is resident.
     *
     * @param adapter the adapter, not null
     * @param onChange the callback, run on each change, not null
     * @return the registration, cancelled to end the wait, not null
     */
    Cancellable await(AdapterName adapter, Runnable onChange);

    /**
     * Gets the newest named version of an adapter.
     *
     * @param adapter the adapter, not null
     * @return the version, 0 if none was named
     */
    long namedVersion(AdapterName adapter);

    /**
     * Gets the time at which this entry learnt of the newest named version of an adapter.
     *
     * @param adapter the adapter, not null
     * @return the time of the monotonic clock, in nanoseconds, empty if no version was named
     */
    OptionalLong namedAt(AdapterName adapter);

    /**
     * Gets the lowest version of an adapter that may be used; shortly after a version was named, that is the previous
     * one.
     *
     * @param adapter the adapter, not null
     * @return the version, 0 for any
     */
    long minimumVersion(AdapterName adapter);

    /**
     * Gets the time after which no request may begin at a version that is older than the newest named one.
     *
     * @param adapter the adapter, not null
     * @return the time, in nanoseconds of the clock, empty if no version was named
     */
    OptionalLong olderVersionsEndAt(AdapterName adapter);

    /**
     * Registers a listener for named versions.
     *
     * @param listener receives each adapter once a newer version of it is named, not null
     */
    void onVersionNamed(Consumer<AdapterName> listener);
}
