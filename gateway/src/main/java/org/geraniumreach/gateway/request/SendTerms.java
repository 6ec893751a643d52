package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.port.TargetPort;
import org.geraniumreach.gateway.traffic.RetryPolicy;

/**
 * What one request carries when it is sent to a target, and how long the target may be silent.
 *
 * <p>The results are those of the moment, since they depend on the remaining time and on the earlier attempts. Confined
 * to the event loop.
 */
final class SendTerms {

    private final ExchangeServices services;
    private final RoutedRequest request;
    private final RunHistory history;
    private final RetryPolicy retryPolicy;

    SendTerms(ExchangeServices services, RoutedRequest request, RunHistory history) {
        this.services = services;
        this.request = request;
        this.history = history;
        this.retryPolicy = request.route().retryPolicy();
    }

    /** Gets what the target is told about the request, with the event number after which to resume, empty for none. */
    TargetPort.RequestMetadata metadata(Target target, OptionalLong resumeAfterNumber) {
        return new TargetPort.RequestMetadata(
                request.account().map(charged -> charged.id().value()),
                request::remaining,
                request.urgency(),
                () -> expectedVersion(target),
                resumeAfterNumber);
    }

    private OptionalLong expectedVersion(Target target) {
        return request.adapter()
                .filter(adapter -> services.adapters().namedVersion(adapter) > 0)
                .map(target::residentVersion)
                .orElse(OptionalLong.empty());
    }

    /**
     * Gets the longest time for which a connection may have been idle that the request is sent on. A request that was written to the target
     * before needs a new connection: a late copy of the first answer bears the same id, and would be taken for the next one.
     */
    Duration maximumIdle(Target target) {
        if (history.writesTo(target) > 0) {
            return Duration.ZERO;
        }
        return retryPolicy.allowsRerun()
                ? services.settings().maximumIdleForRepeatable()
                : services.settings().maximumIdleForSingleRun();
    }

    /** Gets the silence after which another target may take the request over. */
    Attempt.SilenceLimits silenceLimits() {
        if (!history.mayRunBesideNext()) {
            return Attempt.SilenceLimits.NONE;
        }
        if (retryPolicy.isStream()) {
            return new Attempt.SilenceLimits(
                    Optional.of(services.settings().firstEventTimeout()),
                    Optional.of(services.settings().nextEventTimeout()));
        }
        Duration limit = Duration.ofNanos(
                (long) (request.remaining().toNanos() * services.settings().silenceTimeFraction()));
        return new Attempt.SilenceLimits(Optional.of(limit), Optional.empty());
    }
}
