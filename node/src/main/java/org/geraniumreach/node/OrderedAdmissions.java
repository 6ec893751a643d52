package org.geraniumreach.node;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.Supplier;

import org.geraniumreach.gateway.adapter.TargetOwnership;
import org.geraniumreach.gateway.admission.AdmissionObserver;
import org.geraniumreach.gateway.admission.AdmissionRequest;
import org.geraniumreach.gateway.admission.AdmissionSettings;
import org.geraniumreach.gateway.admission.TargetQueues;
import org.geraniumreach.gateway.pacing.OrderedAdmission;
import org.geraniumreach.gateway.pacing.OrderedAdmissionPeers;
import org.geraniumreach.gateway.pacing.TargetAdmission;
import org.geraniumreach.gateway.placement.Placement;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.placement.TargetRegistry;
import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.Timers;
import org.geraniumreach.gateway.speed.TargetSpeeds;
import org.geraniumreach.gateway.traffic.ServiceDefinition;
import org.geraniumreach.gateway.traffic.TrafficConfiguration;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.TargetId;

/**
 * The ordered admission of this entry: its requests, and the queues of the targets that it owns.
 *
 * <p>Invariant: no other entry is asked before the links have been started. Confined to the event loop.
 */
final class OrderedAdmissions implements OrderedAdmissionPeers {

    /** Lifetime of admitted requests of a service that no configured route leads to. */
    private static final Duration DEFAULT_ADMITTED_LIFETIME = Duration.ofSeconds(30);

    /**
     * Fraction of a target's prefill rate that is given out. Prompts of entries with a fraction of a core arrive up to 100 ms after their
     * admission, together with later ones, and a target that is given its full rate then pauses its streams.
     */
    private static final double USED_RATE_FRACTION = 0.83;

    private final Dependencies dependencies;
    private final TargetQueues queues;
    private final OrderedAdmission admission;
    private Optional<OrderedAdmissionLinks> admissionLinks = Optional.empty();

    /** The collaborators of the admission. */
    record Dependencies(
            TargetOwnership ownership,
            TargetRegistry registry,
            Placement placement,
            TargetSpeeds speeds,
            Supplier<Optional<TrafficConfiguration>> configuration,
            TargetAdmission unordered,
            Timers timers,
            MonotonicClock clock,
            DecisionLog log) {}

    OrderedAdmissions(Dependencies dependencies, AdmissionObserver observer) {
        this.dependencies = dependencies;
        this.queues = new TargetQueues(
                dependencies.ownership(),
                dependencies.registry(),
                new TargetQueues.Capacity(this::prefillTokensPerMilli, this::settings),
                dependencies.timers(),
                dependencies.clock(),
                dependencies.log(),
                observer);
        this.admission = new OrderedAdmission(
                dependencies.unordered(),
                queues,
                dependencies.ownership(),
                this,
                dependencies.placement()::ownPrefillDelay,
                dependencies.timers(),
                dependencies.clock());
    }

    private double prefillTokensPerMilli(Target target) {
        return dependencies
                        .placement()
                        .netPrefillTokensPerMilli(target.description().service())
                * dependencies.speeds().speedOf(target).currentRate()
                * USED_RATE_FRACTION;
    }

    private AdmissionSettings settings(Target target) {
        String service = target.description().service();
        Optional<TrafficConfiguration> current = dependencies.configuration().get();
        Optional<ServiceDefinition.Engine> engine =
                current.flatMap(known -> known.service(service)).flatMap(ServiceDefinition::engine);
        return new AdmissionSettings(
                engine.map(ServiceDefinition.Engine::batchSize).orElse(OptionalInt.empty()),
                engine.map(ServiceDefinition.Engine::kvCacheTokens).orElse(OptionalLong.empty()),
                current.flatMap(known -> known.longestTimeout(service)).orElse(DEFAULT_ADMITTED_LIFETIME));
    }

    void start(TargetAdmissionLinks unordered, EntryLinks links) {
        admissionLinks = Optional.of(new OrderedAdmissionLinks(admission, queues, unordered, links));
    }

    TargetQueues queues() {
        return queues;
    }

    OrderedAdmission admission() {
        return admission;
    }

    @Override
    public boolean requestAdmission(
            String entry, long number, TargetId target, String requestId, AdmissionRequest request) {
        return admissionLinks
                .filter(open -> open.requestAdmission(entry, number, target, requestId, request))
                .isPresent();
    }

    @Override
    public void endAdmission(String entry, long number, TargetId target) {
        admissionLinks.ifPresent(open -> open.endAdmission(entry, number, target));
    }
}
