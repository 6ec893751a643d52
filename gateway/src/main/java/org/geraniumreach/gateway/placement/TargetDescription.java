package org.geraniumreach.gateway.placement;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.TargetId;

/**
 * What a target says of itself.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id its name
 * @param startedAt the time of day of its start, in milliseconds; tells one life under a name from the next
 * @param service the service that it offers
 * @param address where it takes requests
 * @param failureDomain where it stands
 * @param slots the requests that it runs together
 * @param draining whether it takes no new work
 * @param coldFor how long it will not have warmed up, zero if it has, empty if it does not say
 * @param models the base models that it holds, by name, with the version held of each adapter by the adapter's name
 */
public record TargetDescription(
        TargetId id,
        long startedAt,
        String service,
        InetSocketAddress address,
        FailureDomain failureDomain,
        int slots,
        boolean draining,
        Optional<Duration> coldFor,
        Map<String, Map<String, Long>> models) {

    public TargetDescription {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(coldFor, "coldFor");
        models = Map.copyOf(models);
        if (coldFor.isPresent() && coldFor.get().isNegative()) {
            throw new IllegalArgumentException("cold time below zero at target " + id + ": " + coldFor.get());
        }
        if (slots < 1) {
            throw new IllegalArgumentException("no slots at target " + id + ": " + slots);
        }
    }

    /**
     * Queries whether another description is of the same life of the same target.
     *
     * @param other the other one, not null
     * @return true if it is
     */
    public boolean isSameIncarnation(TargetDescription other) {
        return id.equals(other.id) && startedAt == other.startedAt && address.equals(other.address);
    }
}
