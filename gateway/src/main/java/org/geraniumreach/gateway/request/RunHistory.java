package org.geraniumreach.gateway.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.traffic.Route;
import org.geraniumreach.model.ConnectionUse;
import org.geraniumreach.model.TargetId;

/**
 * Where one request has been sent and may have run, and whether it may be sent and run again after that.
 *
 * <p>Each write to a target requires a permission of {@link #decideWrite}, so that this class alone keeps the promise of a route.
 *
 * <p>Invariants: no request is written while an earlier run of it is open, or once it has ended, or after its time, or once its
 * caller has closed its connection, however late timers and closes are noticed. After a run that may have begun it is
 * written again only if its route allows that, and then to no more targets than the route allows. A run may have begun until its own
 * target reports that it has not executed it; a later rejection by the same target does not count for an earlier run. Confined to the
 * event loop.
 */
final class RunHistory {

    /** Further omitted writes count as sends, so that a request is not placed without end. */
    private static final int MAXIMUM_OMITTED_WRITES = 20;

    private final ExchangeServices services;
    private final RoutedRequest request;
    private final BooleanSupplier callerGone;
    private final Route route;
    private final List<Run> runs = new ArrayList<>();
    private Optional<Beginning> beginning = Optional.empty();
    private OptionalLong lastSentAt = OptionalLong.empty();
    private int omittedWrites;
    private boolean ended;

    /** What is known of a run. */
    private enum RunState {
        NOT_WRITTEN,
        OPEN,
        MAY_HAVE_RUN,
        NOT_EXECUTED
    }

    /** One sending of the request. Confined to the event loop. */
    static final class Run {
        private final Target target;
        private RunState state = RunState.NOT_WRITTEN;
        private Optional<ConnectionUse> connection = Optional.empty();

        private Run(Target target) {
            this.target = target;
        }

        Target target() {
            return target;
        }

        /** Gets the connection that the request was written to, empty if it was not written. */
        Optional<ConnectionUse> connection() {
            return connection;
        }

        /** Called when the request is about to be written. */
        void onWritten(ConnectionUse use) {
            state = RunState.OPEN;
            connection = Optional.of(use);
        }

        /** Called if the target has not executed the request and never will, or cannot have received it. */
        void onNotExecuted() {
            if (isWritten()) {
                state = RunState.NOT_EXECUTED;
            }
        }

        /** Called if this entry does not wait for the target any more, which may have begun the request if that was written. */
        void onEnded() {
            if (state == RunState.OPEN) {
                state = RunState.MAY_HAVE_RUN;
            }
        }

        private String describe() {
            return target.id().value() + "#"
                    + connection.map(ConnectionUse::connection).orElse(0L) + ":" + state;
        }

        private boolean isWritten() {
            return state != RunState.NOT_WRITTEN;
        }

        private boolean mayHaveBegun() {
            return state == RunState.OPEN || state == RunState.MAY_HAVE_RUN;
        }
    }

    /** The target that began the stream, and when the request was sent to it. */
    private record Beginning(Target target, long sentAt) {}

    RunHistory(ExchangeServices services, RoutedRequest request, BooleanSupplier callerGone) {
        this.services = services;
        this.callerGone = callerGone;
        this.request = request;
        this.route = request.route();
    }

    /** Called when the request is about to be sent to a target. */
    Run onSend(Target target) {
        Run run = new Run(target);
        runs.add(run);
        lastSentAt = OptionalLong.of(services.clock().nanos());
        return run;
    }

    /** Called if the request was not written since what the placement relied on no longer held; that does not count as a send. */
    void onOmitted(Run run) {
        if (omittedWrites < MAXIMUM_OMITTED_WRITES) {
            omittedWrites++;
            runs.remove(run);
        }
    }

    /** Called when the request has its final answer. */
    void onEnded() {
        ended = true;
    }

    /**
     * Decides whether the request may be written to a target.
     *
     * @param target the target
     * @param ending the run that ends before the write, empty if none does
     */
    WriteDecision decide(Target target, Optional<Run> ending) {
        if (ended) {
            return WriteDecision.forbidden(WriteDecision.Result.REQUEST_ENDED);
        }
        if (request.remaining().isNegative() || request.remaining().isZero()) {
            return WriteDecision.forbidden(WriteDecision.Result.TIME_UP);
        }
        Predicate<Run> isEnding = run -> ending.filter(other -> other == run).isPresent();
        if (runs.stream().anyMatch(run -> run.state == RunState.OPEN && !isEnding.test(run))) {
            return WriteDecision.forbidden(WriteDecision.Result.RUN_OPEN);
        }
        if (runs.stream().anyMatch(Run::mayHaveBegun)) {
            return decideOnFurtherRun(target);
        }
        return runs.stream()
                .filter(Run::isWritten)
                .reduce((earlier, later) -> later)
                .map(rejected -> WriteDecision.permittedAfter(WriteDecision.Result.REJECTED, rejected.target.id()))
                .orElseGet(() -> WriteDecision.permitted(
                        runs.isEmpty() ? WriteDecision.Result.FIRST : WriteDecision.Result.NOT_SENT));
    }

    /**
     * Decides whether the request is written to a target now, whose connection is open.
     *
     * <p>Whether the caller has left is queried last of all before the write, so that no close that is there to be read is overtaken.
     */
    WriteDecision decideWrite(Target target) {
        WriteDecision decision = decide(target, Optional.empty());
        return decision.isPermitted() && callerGone.getAsBoolean()
                ? WriteDecision.forbidden(WriteDecision.Result.CALLER_GONE)
                : decision;
    }

    private WriteDecision decideOnFurtherRun(Target target) {
        if (!route.retryPolicy().allowsRerun()) {
            return WriteDecision.forbidden(WriteDecision.Result.MAY_HAVE_RUN);
        }
        long targets = Stream.concat(possiblyRunTargets(), Stream.of(target.id()))
                .distinct()
                .count();
        return targets <= route.maximumTargets()
                ? WriteDecision.permitted(WriteDecision.Result.MAY_RUN_AGAIN)
                : WriteDecision.forbidden(WriteDecision.Result.TOO_MANY_TARGETS);
    }

    /** Gets the number of times that the request was written to a target. */
    int writesTo(Target target) {
        return (int) runs.stream()
                .filter(run -> run.isWritten() && run.target.id().equals(target.id()))
                .count();
    }

    /** Describes each write in order: the target, the number of the connection, and what is known of the run. */
    String describeWrites() {
        return runs.stream().filter(Run::isWritten).map(Run::describe).collect(Collectors.joining(" "));
    }

    private Stream<TargetId> possiblyRunTargets() {
        return runs.stream().filter(Run::mayHaveBegun).map(run -> run.target.id());
    }

    private long possiblyRunCount() {
        return possiblyRunTargets().distinct().count();
    }

    /** Called when the answer to the caller has begun with an event of the target that the request was sent to last. */
    void onStreamBegun(Target target) {
        beginning = Optional.of(new Beginning(target, lastSentAt.orElseThrow()));
    }

    /** Gets the number of times that the request was sent. */
    int sends() {
        return runs.size();
    }

    /** Gets the time at which the request was last sent, empty if it was not sent. */
    OptionalLong lastSentAt() {
        return lastSentAt;
    }

    boolean mayHaveRun() {
        return runs.stream().anyMatch(Run::mayHaveBegun);
    }

    /** Queries whether the route allows a further run after an attempt that has ended. */
    boolean mayRunAgain() {
        return route.retryPolicy().allowsRerun() && possiblyRunCount() < route.maximumTargets();
    }

    /** Queries whether the route allows a further run beside the attempt that is about to start. */
    boolean mayRunBesideNext() {
        return route.retryPolicy().allowsRerun() && possiblyRunCount() + 1 < route.maximumTargets();
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
    Optional<String> findObstacleToReplacement() {
        if (possiblyRunCount() >= route.maximumTargets()) {
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
        return sends() < services.settings().maximumSends();
    }
}
