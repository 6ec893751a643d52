package org.geraniumreach.gateway.request;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.traffic.Route;
import org.geraniumreach.model.TargetId;

/**
 * Where one request has been sent and may have run, and whether it may be sent and run again after that.
 *
 * <p>Invariant: a target that may have begun the request counts until it reports that it has not executed it. Confined
 * to the event loop.
 */
final class RunHistory {

    private final ExchangeServices services;
    private final RoutedRequest request;
    private final Route route;
    private final Set<TargetId> possiblyRunTargets = new HashSet<>();
    private Optional<Beginning> beginning = Optional.empty();
    private OptionalLong lastSentAt = OptionalLong.empty();
    private int sends;

    /** The target that began the stream, and when the request was sent to it. */
    private record Beginning(Target target, long sentAt) {}

    RunHistory(ExchangeServices services, RoutedRequest request) {
        this.services = services;
        this.request = request;
        this.route = request.route();
    }

    /** Called when the request is about to be sent to a target. */
    void onSend() {
        sends++;
        lastSentAt = OptionalLong.of(services.clock().nanos());
    }

    /** Called if a target may have begun the request. */
    void onPossiblyRun(Target target) {
        possiblyRunTargets.add(target.id());
    }

    /** Called if a target has reported that it has not executed the request. */
    void onNotExecuted(Target target) {
        possiblyRunTargets.remove(target.id());
    }

    /** Called when the answer to the caller has begun with an event of the target that the request was sent to last. */
    void onStreamBegun(Target target) {
        beginning = Optional.of(new Beginning(target, lastSentAt.orElseThrow()));
    }

    /** Gets the number of times that the request was sent. */
    int sends() {
        return sends;
    }

    /** Gets the time at which the request was last sent, empty if it was not sent. */
    OptionalLong lastSentAt() {
        return lastSentAt;
    }

    boolean mayHaveRun() {
        return !possiblyRunTargets.isEmpty();
    }

    /** Queries whether the route allows a further run after an attempt that has ended. */
    boolean mayRunAgain() {
        return route.retryPolicy().allowsRerun() && possiblyRunTargets.size() < route.maximumTargets();
    }

    /** Queries whether the route allows a further run beside the attempt that is about to start. */
    boolean mayRunBesideNext() {
        return route.retryPolicy().allowsRerun() && possiblyRunTargets.size() + 1 < route.maximumTargets();
    }

    /** Queries whether enough time and sends are left for a further attempt. */
    boolean maySendAgain() {
        return hasTimeLeft() && hasSendsLeft();
    }

    /** Queries whether the software version that began the stream is certain, true if no stream has begun. */
    boolean isOriginCertain() {
        return beginning
                .filter(known -> !services.streams().isCertain(known.target(), known.sentAt()))
                .isEmpty();
    }

    /** Finds what forbids that another target takes the request over; a retry and a place are decided on later. */
    Optional<String> findObstacleToReplacement(Target silent) {
        int targets = possiblyRunTargets.size() + (possiblyRunTargets.contains(silent.id()) ? 0 : 1);
        if (targets >= route.maximumTargets()) {
            return Optional.of("no more targets may run the request");
        }
        if (!hasTimeLeft()) {
            return Optional.of("the time is nearly up");
        }
        if (!hasSendsLeft()) {
            return Optional.of("the request has been sent too often");
        }
        return isOriginCertain()
                ? Optional.empty()
                : Optional.of("the software version that began the stream is not certain");
    }

    private boolean hasTimeLeft() {
        return request.remaining().compareTo(services.settings().minimumRemaining()) > 0;
    }

    private boolean hasSendsLeft() {
        return sends < services.settings().maximumSends();
    }
}
