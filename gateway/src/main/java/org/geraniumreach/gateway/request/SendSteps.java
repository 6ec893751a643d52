package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.Optional;

import org.geraniumreach.gateway.crash.Verdict;
import org.geraniumreach.gateway.placement.PlacementDecision;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.model.ResultCode;

/**
 * The steps that a request passes before it is sent: its account's rate, whether what is known of the targets is fresh, whether targets have ended under it, the placement, and what the selected target
 * requires, which is the adapter's load or the prompt's turn, and a permission if it names a limit.
 *
 * <p>Invariant: nothing is reported unless the request is being placed, so at most once for each call of {@link #start}
 * or {@link #place}, and never after {@link #stop}. Confined to the event loop.
 */
final class SendSteps {

    private final ExchangeServices services;
    private final RoutedRequest request;
    private final SendConditions conditions;
    private final Listener listener;
    private final PendingWaits waits;
    private final PlacementState state;
    private final QuotaStep quotaStep;
    private final SuspicionStep suspicionStep;
    private final AdmissionStep admissionStep;
    private final PermissionStep permissionStep;
    private final AdapterLoadStep loadStep;
    private boolean placing;

    /** Receives the result of the steps. */
    interface Listener {

        /** Called once the request is within its account's rate. */
        void onAdmitted();

        /** Called if the request is above its account's rate, with the time after which to retry. */
        void onAboveRate(Duration retryAfter);

        /** Returns whether the request should rather be sent to any other target. */
        boolean isAvoided(Target target);

        /** Returns whether the request may be sent as it was placed; if not, the steps have been stopped. */
        boolean isSendAllowed(PlacementDecision placed);

        /** Called when the request may be sent to a target. */
        void onSendable(PlacementDecision.Send send);

        /** Called if the request may not be sent, since targets have ended under it. */
        void onSuspected(Verdict verdict);

        /** Called if the request cannot be sent to any target. */
        void onUnplaceable(ResultCode code, String reason, Duration retryAfter);
    }

    SendSteps(ExchangeServices services, RoutedRequest request, SendConditions conditions, Listener listener) {
        this.services = services;
        this.request = request;
        this.conditions = conditions;
        this.listener = listener;
        this.waits = new PendingWaits(services.timers(), services.clock());
        this.state = new PlacementState(services, request);
        this.quotaStep = new QuotaStep(services, request, waits);
        this.suspicionStep = new SuspicionStep(services, request, waits);
        this.admissionStep = services.admission().isOrdered()
                ? new OrderedAdmissionStep(services, request, conditions, state.admissionAttempts(), waits)
                : new PacedAdmissionStep(services, request, conditions, state.admissionAttempts(), waits);
        this.permissionStep = new PermissionStep(state.permission(), waits);
        this.loadStep = new AdapterLoadStep(services, request, state.loadWait(), waits);
    }

    PlacementState state() {
        return state;
    }

    Waits waits() {
        return waits.snapshot();
    }

    /** Runs all steps. */
    void start() {
        placing = true;
        quotaStep.run(ifPlacing(this::onAdmitted), retryAfter -> ifPlacing(() -> listener.onAboveRate(retryAfter))
                .run());
    }

    /** Runs the steps from the placement on, after an attempt that has ended, or beside one that is silent. */
    void place() {
        waits.cancelAll();
        placing = true;
        placeNow();
    }

    /** Queries whether the request is being placed. */
    boolean isPlacing() {
        return placing;
    }

    /** Ends all waits, and what was admitted but not handed over. */
    void stop() {
        placing = false;
        waits.cancelAll();
        waits.stop();
        state.loadWait().forget();
        state.admissionAttempts().forget();
        admissionStep.end();
    }

    /** Hands over the admission under which the request is sent. */
    HeldAdmission handOverAdmission() {
        return admissionStep.handOver();
    }

    /** Guards a callback, since cancelled registrations may still be notified of a change in progress. */
    private Runnable ifPlacing(Runnable action) {
        return () -> {
            if (placing) {
                action.run();
            }
        };
    }

    private void onAdmitted() {
        listener.onAdmitted();
        request.adapter().ifPresent(adapter -> services.placement().recordRequest(adapter, request.promptTokens()));
        placeNow();
    }

    private void placeNow() {
        waits.cancelTimer();
        waits.stop();
        admissionStep.end();
        if (request.remaining().compareTo(services.settings().minimumRemaining()) < 0) {
            return;
        }
        Optional<Duration> untilRowsAreFresh = services.rows().timeUntilNextCheck();
        if (untilRowsAreFresh.isPresent()) {
            waits.start(WaitCause.READING);
            waits.schedule(untilRowsAreFresh.get(), placeAgain());
            return;
        }
        suspicionStep.run(this::placeUnsuspected, listener::onSuspected, placeAgain());
    }

    private void placeUnsuspected() {
        PlacementDecision decision = choosePlacement();
        if (decision instanceof PlacementDecision.Unplaceable unplaceable) {
            onUnplaceable(unplaceable);
            return;
        }
        if (!listener.isSendAllowed(decision)) {
            return;
        }
        waits.cancelAdapterChange();
        if (decision instanceof PlacementDecision.Send send) {
            admissionStep.run(send, new AdmissionResults(send));
        } else if (decision instanceof PlacementDecision.Load load) {
            requestPermissionToLoad(load.target());
        } else if (decision instanceof PlacementDecision.Defer defer) {
            waits.start(WaitCause.PREFILL_CAPACITY);
            waits.schedule(defer.delay(), placeAgain());
        }
    }

    /** Passes over an avoided target only for one of its version that needs no load; others are not worth what they cost. */
    private PlacementDecision choosePlacement() {
        PlacementDecision first = services.placement().place(state.nextPlacement());
        Optional<Target> avoided = first.selectedTarget().filter(listener::isAvoided);
        if (avoided.isEmpty()) {
            return first;
        }
        PlacementDecision other = services.placement().place(state.nextPlacementWithout(listener::isAvoided));
        return other instanceof PlacementDecision.Send send && isSameVersion(send.target(), avoided.get())
                ? send.withoutLoad()
                : first;
    }

    private static boolean isSameVersion(Target one, Target other) {
        return one.description().softwareVersion().equals(other.description().softwareVersion());
    }

    /** Handles the result of the prompt's admission. */
    private final class AdmissionResults implements AdmissionStep.Results {
        private final PlacementDecision.Send send;

        private AdmissionResults(PlacementDecision.Send send) {
            this.send = send;
        }

        @Override
        public void onAdmitted() {
            ifPlacing(() -> requestPermissionToSend(send)).run();
        }

        @Override
        public void onPlaceAgain() {
            placeAgain().run();
        }

        @Override
        public void onRejected(ResultCode code, String reason, Duration retryAfter) {
            ifPlacing(() -> listener.onUnplaceable(code, reason, retryAfter)).run();
        }
    }

    private Runnable placeAgain() {
        return ifPlacing(this::placeNow);
    }

    /** Asks last, so that a request that has waited for anything else keeps to a limit that became known meanwhile. */
    private void requestPermissionToSend(PlacementDecision.Send send) {
        permissionStep.run(
                send.target(),
                conditions::isSendable,
                ifPlacing(() -> {
                    state.permission().use();
                    state.loadWait().reset();
                    placing = false;
                    listener.onSendable(send);
                }),
                placeAgain());
    }

    /** Asks before the load: where nothing is left of a target's limit, the request would wait for the load in vain. */
    private void requestPermissionToLoad(Target target) {
        permissionStep.run(
                target,
                services.placement()::isSendable,
                ifPlacing(() -> loadStep.run(
                        target,
                        placeAgain(),
                        () -> listener.onUnplaceable(
                                ResultCode.LOAD_FAILED,
                                "the adapter is not loaded in time",
                                Refusal.DEFAULT_RETRY_AFTER))),
                placeAgain());
    }

    /**
     * Retries placement for a while instead of refusing the request. Just after a restart of all entries none of them
     * can order loads, and targets that are warming up take another request within a second; refused callers would
     * all retry at the same time.
     */
    private void onUnplaceable(PlacementDecision.Unplaceable unplaceable) {
        PlacementDecision.Reason reason = unplaceable.reason();
        boolean isTransient = reason == PlacementDecision.Reason.NO_HOLDER || reason == PlacementDecision.Reason.COLD;
        boolean mayRetry =
                isTransient && request.elapsed().compareTo(services.settings().placementRetryPeriod()) < 0;
        if (!mayRetry) {
            ResultCode code = reason == PlacementDecision.Reason.LIMITED ? ResultCode.OVERLOADED : ResultCode.NO_TARGET;
            listener.onUnplaceable(code, reason.name(), unplaceable.retryAfter().orElse(Refusal.DEFAULT_RETRY_AFTER));
            return;
        }
        waits.start(WaitCause.ADAPTER);
        waits.schedule(services.settings().placementRetryInterval(), placeAgain());
    }
}
