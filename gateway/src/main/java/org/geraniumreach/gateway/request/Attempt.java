package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.Optional;

import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.TargetAnswerHead;
import org.geraniumreach.gateway.port.TargetAnswerListener;
import org.geraniumreach.gateway.port.TargetLoad;
import org.geraniumreach.gateway.port.TargetPort;
import org.geraniumreach.gateway.traffic.AdapterName;

/**
 * One sending of a request to one target.
 *
 * <p>Invariant: the target's counts go up once at its start and down once at its end, however it ends. Confined to the event
 * loop.
 */
final class Attempt implements TargetAnswerListener {

    private final ExchangeServices services;
    private final Target target;
    private final GatewayRequest request;
    private final Listener listener;
    private final long promptTokens;
    private Cancellable call = Cancellable.NOTHING;
    private Cancellable silence = Cancellable.NOTHING;
    private SilenceLimits limits = SilenceLimits.NONE;
    private boolean promptRead;
    private boolean nothingAhead;
    private long sentAt;
    private boolean over;

    /**
     * How long a target may be silent before the request is taken elsewhere, empty for as long as it likes.
     *
     * @param start before the first part
     * @param pause between two parts
     */
    record SilenceLimits(Optional<Duration> start, Optional<Duration> pause) {
        static final SilenceLimits NONE = new SilenceLimits(Optional.empty(), Optional.empty());
    }

    /** Is told of what comes of the attempt; a head or part that it does not take ends the attempt as failed. */
    interface Listener {

        void notExecuted(NotExecuted why);

        boolean head(TargetAnswerHead head);

        boolean part(byte[] part);

        void end();

        void failed(boolean mayHaveRun, String reason);
    }

    Attempt(ExchangeServices services, Target target, GatewayRequest request, Listener listener) {
        this.services = services;
        this.target = target;
        this.request = request;
        this.listener = listener;
        this.promptTokens = request.generation()
                .map(GatewayRequest.Generation::promptTokens)
                .orElse(0L);
    }

    Target target() {
        return target;
    }

    void start(TargetPort.Envelope envelope, Duration longestIdle, SilenceLimits silenceLimits) {
        limits = silenceLimits;
        sentAt = services.clock().nanos();
        nothingAhead = target.promptTokensAhead() == 0;
        target.sent(promptTokens, sentAt);
        adapter().ifPresent(adapter -> services.adapters().begun(target, adapter));
        call = services.targets().send(target, request, envelope, longestIdle, this);
        watch(limits.start());
    }

    private void watch(Optional<Duration> allowed) {
        silence.cancel();
        silence = allowed.map(limit -> services.timers().after(limit, this::silent))
                .orElse(Cancellable.NOTHING);
    }

    private void silent() {
        if (!over) {
            call.cancel();
            conclude();
            listener.failed(true, "the target is silent");
        }
    }

    /** Stops the attempt; the target is told by its connection's end. */
    void cancel() {
        if (!over) {
            call.cancel();
            conclude();
        }
    }

    private void conclude() {
        over = true;
        silence.cancel();
        notePromptRead();
        target.ended();
        adapter().ifPresent(adapter -> services.adapters().ended(target, adapter));
    }

    private Optional<AdapterName> adapter() {
        return request.generation().flatMap(GatewayRequest.Generation::adapter);
    }

    private void noteSpeed() {
        if (!promptRead && nothingAhead && promptTokens > 0) {
            Duration took = Duration.ofNanos(services.clock().nanos() - sentAt);
            services.placement().promptRead(target, promptTokens, took);
        }
    }

    private void notePromptRead() {
        if (!promptRead) {
            promptRead = true;
            target.promptRead(promptTokens);
        }
    }

    private void noteLoad(TargetLoad load) {
        load.figures()
                .ifPresent(figures -> target.reported(
                        figures.running(), figures.waiting(), services.clock().nanos()));
    }

    @Override
    public void notExecuted(NotExecuted why, TargetLoad load) {
        if (over) {
            return;
        }
        noteLoad(load);
        conclude();
        listener.notExecuted(why);
    }

    @Override
    public void head(TargetAnswerHead head, TargetLoad load) {
        if (over) {
            return;
        }
        noteLoad(load);
        if (!listener.head(head)) {
            reject("the head does not fit what was sent before");
        }
    }

    @Override
    public void part(byte[] part) {
        if (over) {
            return;
        }
        noteSpeed();
        notePromptRead();
        watch(limits.pause());
        if (!listener.part(part)) {
            reject("the events do not follow on one another");
        }
    }

    private void reject(String reason) {
        call.cancel();
        conclude();
        listener.failed(true, reason);
    }

    @Override
    public void end() {
        if (over) {
            return;
        }
        conclude();
        listener.end();
    }

    @Override
    public void failed(boolean mayHaveRun, String reason) {
        if (over) {
            return;
        }
        conclude();
        listener.failed(mayHaveRun, reason);
    }
}
