package org.geraniumreach.gateway.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.geraniumreach.gateway.speed.TargetSpeed;
import org.geraniumreach.gateway.speed.TargetSpeeds;
import org.geraniumreach.model.MonotonicClock;

/**
 * Estimates how long prompts wait at targets, from the prefill rate of the service and the speed of each target.
 *
 * <p>Intended for targets whose rates differ by a small factor and slow down for fractions of a second. Invariant: all times at a target are those of
 * its service divided by the relative rate of the target; without a known speed they are those of the service. Confined to the event loop.
 */
final class WaitEstimate {

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<String, PrefillRate> prefillRates = new HashMap<>();
    private final TargetSpeeds speeds;
    private final PlacementSettings settings;
    private final MonotonicClock clock;

    WaitEstimate(TargetSpeeds speeds, PlacementSettings settings, MonotonicClock clock) {
        this.speeds = Objects.requireNonNull(speeds, "speeds");
        this.settings = Objects.requireNonNull(settings, "settings");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Records a prefill as if an average target of the service had done it, so that the targets' mix does not bias the service's rate. */
    void recordPrefill(Target target, long promptTokens, Duration timeToFirstPart) {
        double averageNanos = timeToFirstPart.toNanos() * speeds.speedOf(target).currentRate();
        prefillRate(target.description().service()).record(promptTokens, Duration.ofNanos((long) averageNanos));
    }

    /** Gets the rate of an average target of a service, including the overhead before the first part. */
    double tokensPerSecond(String service) {
        return prefillRate(service).tokensPerMilli() * MILLIS_PER_SECOND;
    }

    /** Gets the rate of an average target of a service, without the fixed overhead before the first part. */
    double netTokensPerMilli(String service) {
        return prefillRate(service).netTokensPerMilli();
    }

    private PrefillRate prefillRate(String service) {
        return prefillRates.computeIfAbsent(service, missing -> new PrefillRate());
    }

    /** Estimates the time until the first part at the target's current rate. */
    long currentMillis(Target target, PlacementRequest request) {
        return millisAtRate(target, request, speeds.speedOf(target).currentRate());
    }

    /** Estimates the time until the first part at the target's usual rate, which a momentary slowdown does not change. */
    long usualMillis(Target target, PlacementRequest request) {
        return millisAtRate(target, request, speeds.relativeRateOf(target));
    }

    private long millisAtRate(Target target, PlacementRequest request, double rate) {
        long now = clock.nanos();
        int load = target.load(now, settings.reportLifetime());
        double loadFactor = target.outstanding() > 0 ? Math.max(1.0, (double) load / target.outstanding()) : 1.0;
        double prefill = (target.pendingPromptTokens() * loadFactor + request.promptTokens())
                / prefillRate(request.service()).tokensPerMilli();
        double queued = target.waiting(now, settings.reportLifetime())
                * (double) settings.slotReleaseInterval().toMillis();
        return (long) ((prefill + queued) / rate);
    }

    /** Computes the delay after which this entry may send a prompt, so that its prompts use only a part of the target's current prefill rate. */
    Duration prefillDelay(Target target, long promptTokens) {
        TargetSpeed speed = speeds.speedOf(target);
        double tokensPerWindow = prefillRate(target.description().service()).tokensPerMilli()
                * speed.currentRate()
                * settings.prefillWindow().toMillis();
        return target.prefillDelay(
                promptTokens,
                (long) (tokensPerWindow * settings.prefillWindowFraction()),
                settings.prefillWindow(),
                clock.nanos());
    }
}
