package org.geraniumreach.gateway.placement;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.SoftwareVersion;
import org.geraniumreach.model.TargetId;

/**
 * The state that a target publishes in its row.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the name of the target
 * @param startedAt the wall clock time of its start, in milliseconds; distinguishes incarnations of one name
 * @param service the service that it serves
 * @param softwareVersion the version of its software
 * @param address the address at which it accepts requests
 * @param failureDomain the failure domain that it runs in
 * @param slots the number of requests that it runs concurrently, at least 1
 * @param draining whether it accepts no new requests
 * @param coldFor the remaining warm-up time, zero if it is warm, empty if unknown
 * @param models the resident adapter versions by adapter name, for each base model that it holds by model name
 */
public record TargetDescription(
        TargetId id,
        long startedAt,
        String service,
        SoftwareVersion softwareVersion,
        InetSocketAddress address,
        FailureDomain failureDomain,
        int slots,
        boolean draining,
        Optional<Duration> coldFor,
        Map<String, Map<String, Long>> models) {

    public TargetDescription {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(softwareVersion, "softwareVersion");
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
     * Queries whether another description belongs to the same incarnation of the same target.
     *
     * @param other the other description, not null
     * @return true if it does
     */
    public boolean isSameIncarnation(TargetDescription other) {
        return id.equals(other.id)
                && startedAt == other.startedAt
                && address.equals(other.address)
                && softwareVersion.equals(other.softwareVersion);
    }
}
