package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;

import org.geraniumreach.gateway.placement.PlacementRequest;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.placement.VersionRule;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.geraniumreach.model.SoftwareVersion;
import org.geraniumreach.model.TargetId;

/**
 * What one request has learnt from its attempts to be placed.
 *
 * <p>Confined to the event loop.
 */
final class PlacementState {

    private final ExchangeServices services;
    private final RoutedRequest request;
    private final Set<TargetId> excludedTargets = new HashSet<>();
    private final LoadWait loadWait;
    private final SendPermission permission;
    private final AdmissionAttempts admissionAttempts = new AdmissionAttempts();
    private Optional<SoftwareVersion> requiredVersion = Optional.empty();
    private Optional<SoftwareVersion> preferredVersion = Optional.empty();

    PlacementState(ExchangeServices services, RoutedRequest request) {
        this.services = services;
        this.request = request;
        ExchangeSettings settings = services.settings();
        this.loadWait = new LoadWait(
                settings.loadWaitLimit(request.remaining(), request.route().latencyObjective()),
                settings.slowLoadThreshold());
        this.permission = new SendPermission(services.limiter(), services.clock());
    }

    /** Excludes a target from further attempts. */
    void exclude(TargetId target) {
        excludedTargets.add(target);
    }

    /** Allows attempts at a target again. */
    void include(TargetId target) {
        excludedTargets.remove(target);
    }

    /** Allows only targets of a software version from now on. */
    void requireVersion(SoftwareVersion version) {
        requiredVersion = Optional.of(version);
    }

    /** Allows only targets of a software version from now on, as long as there is one. */
    void preferVersion(SoftwareVersion version) {
        preferredVersion = Optional.of(version);
    }

    LoadWait loadWait() {
        return loadWait;
    }

    SendPermission permission() {
        return permission;
    }

    AdmissionAttempts admissionAttempts() {
        return admissionAttempts;
    }

    /** Creates the request for the next placement. */
    PlacementRequest nextPlacement() {
        return nextPlacement(excludedTargets);
    }

    /** Creates the request for a placement that also excludes some targets for this once. */
    PlacementRequest nextPlacementWithout(Predicate<Target> avoided) {
        Set<TargetId> excluded = new HashSet<>(excludedTargets);
        services.registry().findByService(request.service()).stream()
                .filter(avoided)
                .forEach(target -> excluded.add(target.id()));
        return nextPlacement(excluded);
    }

    private PlacementRequest nextPlacement(Set<TargetId> excluded) {
        long now = services.clock().nanos();
        Optional<AdapterName> adapter = request.adapter();
        adapter.ifPresent(required ->
                loadWait.recordDeclined(target -> services.adapters().hasDeclined(target, required)));
        return new PlacementRequest(
                request.service(),
                request.request().generation().map(GatewayRequest.Generation::model),
                adapter,
                adapter.map(services.adapters()::minimumVersion).orElse(0L),
                adapter.map(services.adapters()::namedVersion).orElse(0L),
                adapter.flatMap(required -> olderVersionsLeft(required, now)),
                request.request().affinityKey(),
                request.promptTokens(),
                request.route().latencyObjective(),
                mayBeDeferred(),
                loadWait.loadingTargets(now),
                loadWait.slowLoadingTargets(now),
                admissionAttempts.saturatedTargets(),
                excluded,
                new VersionRule(requiredVersion, preferredVersion, heldVersions()),
                permission.target());
    }

    /** Gets the time until requests that have not begun at older versions of an adapter are taken back. */
    private Optional<Duration> olderVersionsLeft(AdapterName adapter, long now) {
        OptionalLong endAt = services.adapters().olderVersionsEndAt(adapter);
        return endAt.isPresent()
                ? Optional.of(Duration.ofNanos(endAt.getAsLong() - now).minus(OutdatedAttempts.LOAD_MARGIN))
                : Optional.empty();
    }

    /** A stream may begin only at versions that all entries know; one that goes on has its version already. */
    private Set<SoftwareVersion> heldVersions() {
        boolean mayBegin = requiredVersion.isEmpty() && request.route().retryPolicy() == RetryPolicy.RESUMABLE_STREAM;
        return mayBegin ? services.streams().heldVersions(request.service()) : Set.of();
    }

    /** Where targets' owners order requests, this entry's own bound must not delay urgent ones. */
    private boolean mayBeDeferred() {
        return !services.admission().isOrdered()
                && request.elapsed().compareTo(services.settings().maximumDeferral()) < 0;
    }
}
