package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

import org.geraniumreach.gateway.crash.SentRun;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.TargetAnswerHead;
import org.geraniumreach.gateway.port.TargetAnswerListener;
import org.geraniumreach.gateway.port.TargetLoad;
import org.geraniumreach.gateway.port.TargetPort;
import org.geraniumreach.gateway.retry.FailureCause;
import org.geraniumreach.gateway.retry.Sending;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.model.ConnectionUse;

/**
 * One attempt to run a request at one target.
 *
 * <p>Invariants: the target's counters are incremented once when the attempt starts and decremented once when it ends,
 * for any outcome. The admission under which the request was sent ends with the
 * attempt. A silence does not end it. Confined to the event loop.
 */
final class Attempt implements TargetAnswerListener {

    private final ExchangeServices services;
    private final Target target;
    private final RunHistory.Run run;
    private final Sending sending;
    private final SentRun crashRun;
    private final HeldAdmission admission;
    private final GatewayRequest request;
    private final Listener listener;
    private final long promptTokens;
    private Cancellable call = Cancellable.NOOP;
    private Cancellable silenceTimer = Cancellable.NOOP;
    private SilenceLimits silenceLimits = SilenceLimits.NONE;
    private OptionalLong adapterVersion = OptionalLong.empty();
    private boolean prefillEnded;
    private boolean noPromptPending;
    private long sentAt;
    private long lastSignAt;
    private boolean sent;
    private boolean silent;
    private boolean failureCounted;
    private boolean ended;

    /**
     * The silence after which an attempt counts as silent, empty for no limit.
     *
     * @param beforeFirstPart the limit before the first part
     * @param betweenParts the limit between two parts
     */
    record SilenceLimits(Optional<Duration> beforeFirstPart, Optional<Duration> betweenParts) {
        static final SilenceLimits NONE = new SilenceLimits(Optional.empty(), Optional.empty());
    }

    /**
     * A silence that exceeds the limit.
     *
     * @param length the time since the last part, or since the request was sent
     * @param ofWholeTarget whether the target has not answered other requests either
     */
    record Silence(Duration length, boolean ofWholeTarget) {}

    /** Receives the events of an attempt; returning false for a head or part ends the attempt as failed. */
    interface Listener {

        /** Called just before the request is written to an open connection; returns whether it may be. */
        boolean maySend();

        /** Called when the attempt has ended since its request may not be written. */
        void onForbidden();

        /** Called each time that the target has sent nothing for as long as the limit; the attempt goes on. */
        void onSilent(Silence silence);

        /** Called when the answer goes on after a silence. */
        void onResumed();

        void onNotExecuted(NotExecuted reason);

        boolean onHead(TargetAnswerHead head);

        boolean onPart(byte[] part);

        void onEnd();

        void onFailed(FailureCause cause, String reason);
    }

    Attempt(
            ExchangeServices services,
            RunHistory.Run run,
            Sending sending,
            SentRun crashRun,
            HeldAdmission admission,
            GatewayRequest request,
            Listener listener) {
        this.services = services;
        this.target = run.target();
        this.sending = sending;
        this.run = run;
        this.crashRun = crashRun;
        this.admission = admission;
        this.request = request;
        this.listener = listener;
        this.promptTokens = request.generation()
                .map(GatewayRequest.Generation::promptTokens)
                .orElse(0L);
    }

    Target target() {
        return target;
    }

    RunHistory.Run run() {
        return run;
    }

    /** Gets the time since the attempt was started. */
    Duration sinceStart() {
        return Duration.ofNanos(services.clock().nanos() - sentAt);
    }

    void start(TargetPort.RequestMetadata envelope, Duration maximumIdle, SilenceLimits limits) {
        silenceLimits = limits;
        sentAt = services.clock().nanos();
        lastSignAt = sentAt;
        noPromptPending = target.pendingPromptTokens() == 0;
        target.onRequestSent(promptTokens, sentAt);
        adapter().ifPresent(adapter -> services.adapters().onRequestSent(target, adapter));
        call = services.targets().send(target, request, envelope, maximumIdle, this);
        if (!ended) {
            restartSilenceTimer(silenceLimits.beforeFirstPart());
        }
    }

    private void restartSilenceTimer(Optional<Duration> limit) {
        silenceTimer.cancel();
        silenceTimer = limit.map(this::startSilenceTimer).orElse(Cancellable.NOOP);
    }

    private Cancellable startSilenceTimer(Duration limit) {
        return services.silences().timer().schedule(limit, () -> onSilence(limit));
    }

    private void onSilence(Duration limit) {
        if (ended) {
            return;
        }
        silent = true;
        boolean targetSilent = !failureCounted && services.silences().onSilence(target, request.id());
        failureCounted |= !targetSilent;
        silenceTimer = startSilenceTimer(limit);
        listener.onSilent(new Silence(Duration.ofNanos(services.clock().nanos() - lastSignAt), targetSilent));
    }

    private void onSign() {
        lastSignAt = services.clock().nanos();
        services.silences().onSign(target, lastSignAt);
    }

    private void onProgress() {
        onSign();
        if (silent) {
            silent = false;
            listener.onResumed();
        }
    }

    /** Cancels the attempt; the target notices that the connection is closed. */
    void cancel() {
        if (!ended) {
            abandon();
        }
    }

    /** Queries whether the target has not begun the request, as far as is known, and holds an older version of its adapter than the given one. */
    boolean awaitsOlderVersion(long version) {
        return sent && !ended && !prefillEnded && isOfOlderVersion(version);
    }

    /** Queries whether the target is still taken to hold the version of the request's adapter that it held at the write. */
    boolean isOfResidentVersion() {
        return residentVersion().equals(adapterVersion);
    }

    private OptionalLong residentVersion() {
        return adapter().map(target::residentVersion).orElse(OptionalLong.empty());
    }

    /** Queries whether the target held an older version of the request's adapter at the write than the given one. */
    boolean isOfOlderVersion(long version) {
        return adapterVersion.isPresent() && adapterVersion.getAsLong() < version;
    }

    /** Takes the request back from a target that has not begun it in time. */
    void endAsOutdated() {
        abandon();
        listener.onFailed(
                FailureCause.OUTDATED, "the target has not begun the request while its adapter version may be used");
    }

    private void abandon() {
        call.cancel();
        if (sent) {
            sending.onAbandoned();
        } else {
            sending.onNotSent();
        }
        finish();
    }

    private void finish() {
        ended = true;
        run.onEnded();
        silenceTimer.cancel();
        admission.end();
        endPrefill();
        target.onRequestEnded();
        adapter().ifPresent(adapter -> services.adapters().onRequestEnded(target, adapter));
    }

    private Optional<AdapterName> adapter() {
        return request.generation().flatMap(GatewayRequest.Generation::adapter);
    }

    private void recordPrefillRate() {
        if (!prefillEnded && noPromptPending && promptTokens > 0) {
            Duration timeToFirstPart = Duration.ofNanos(services.clock().nanos() - sentAt);
            services.placement().recordPrefill(target, promptTokens, timeToFirstPart);
        }
    }

    private void endPrefill() {
        if (!prefillEnded) {
            prefillEnded = true;
            target.onPrefillEnded(promptTokens);
        }
    }

    private void recordLoad(TargetLoad load) {
        load.requestCounts()
                .ifPresent(figures -> target.onLoadReport(
                        figures.running(), figures.waiting(), services.clock().nanos()));
    }

    @Override
    public boolean onSending(ConnectionUse use) {
        if (ended) {
            return false;
        }
        if (!listener.maySend()) {
            sending.onNotSent();
            crashRun.onNotExecuted();
            finish();
            listener.onForbidden();
            return false;
        }
        sent = true;
        adapterVersion = residentVersion();
        run.onWritten(use);
        return true;
    }

    @Override
    public void onNotExecuted(NotExecuted reason, TargetLoad load) {
        if (ended) {
            return;
        }
        recordLoad(load);
        onSign();
        sending.onArrived();
        run.onNotExecuted();
        crashRun.onNotExecuted();
        finish();
        listener.onNotExecuted(reason);
    }

    @Override
    public void onHead(TargetAnswerHead head, TargetLoad load) {
        if (ended) {
            return;
        }
        recordLoad(load);
        onProgress();
        restartSilenceTimer(silenceLimits.beforeFirstPart());
        sending.onArrived();
        if (!listener.onHead(head)) {
            reject("the head does not fit what was sent before");
        }
    }

    @Override
    public void onPart(byte[] part) {
        if (ended) {
            return;
        }
        onProgress();
        crashRun.onPart(lastSignAt);
        recordPrefillRate();
        endPrefill();
        restartSilenceTimer(silenceLimits.betweenParts());
        if (!listener.onPart(part)) {
            reject("the answer is too long, or its events do not follow on one another");
        }
    }

    private void reject(String reason) {
        abandon();
        listener.onFailed(FailureCause.BROKEN, reason);
    }

    @Override
    public void onEnd() {
        if (ended) {
            return;
        }
        crashRun.onComplete();
        finish();
        listener.onEnd();
    }

    @Override
    public void onFailed(boolean mayHaveRun, String reason) {
        if (ended) {
            return;
        }
        if (mayHaveRun) {
            sending.onArrived();
            crashRun.onBroken();
        } else {
            run.onNotExecuted();
            crashRun.onNotExecuted();
            sending.onNotSent();
        }
        finish();
        listener.onFailed(FailureCause.ofFailedCall(mayHaveRun), reason);
    }
}
