package org.geraniumreach.serving.routing;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.serving.prefix.PrefixDigest;

/**
 * The properties of a request that a router needs.
 *
 * <p>Invariant: a request for a plain service names no adapter. Immutable and safe for use by several threads.
 *
 * @param offering the base model or service
 * @param adapter the adapter and version, empty for a plain service
 * @param prefix the conversation's prefix, empty if there is none
 * @param excluded the targets already tried; each counts as one hop
 */
public record RouteRequest(
        Offering offering, Optional<AdapterReference> adapter, Optional<PrefixDigest> prefix, Set<TargetId> excluded) {

    public RouteRequest {
        Objects.requireNonNull(offering, "offering");
        Objects.requireNonNull(adapter, "adapter");
        Objects.requireNonNull(prefix, "prefix");
        excluded = Set.copyOf(excluded);
        if (offering.kind() == Offering.Kind.SERVICE && adapter.isPresent()) {
            throw new IllegalArgumentException("a plain service runs no adapter: " + adapter.get());
        }
    }

    /**
     * Obtains a request for an adapter.
     *
     * @param baseModel the adapter's base model, not null
     * @param adapter the adapter and version, not null
     * @return the request, not null
     */
    public static RouteRequest ofAdapter(String baseModel, AdapterReference adapter) {
        return new RouteRequest(Offering.ofBaseModel(baseModel), Optional.of(adapter), Optional.empty(), Set.of());
    }

    /**
     * Obtains a request for a plain service.
     *
     * @param offering the service, not null
     * @return the request, not null
     */
    public static RouteRequest ofService(Offering offering) {
        return new RouteRequest(offering, Optional.empty(), Optional.empty(), Set.of());
    }

    public RouteRequest withPrefix(PrefixDigest digest) {
        return new RouteRequest(offering, adapter, Optional.of(digest), excluded);
    }

    public RouteRequest withExcluded(Set<TargetId> tried) {
        return new RouteRequest(offering, adapter, prefix, tried);
    }
}
