package org.geraniumreach.gateway.testing;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.TargetAnswerHead;
import org.geraniumreach.gateway.port.TargetAnswerListener;
import org.geraniumreach.gateway.port.TargetLoad;
import org.geraniumreach.gateway.request.GatewayRequest;
import org.geraniumreach.model.ConnectionUse;
import org.geraniumreach.model.Header;
import org.geraniumreach.model.TargetId;

/** Targets whose answers are controlled by a test. */
public final class FakeTargets extends UnsupportedTargetPort {

    private static final TargetLoad NO_LOAD = new TargetLoad(Optional.empty());

    private final List<SentRequest> sentRequests = new ArrayList<>();
    private final Set<TargetId> endedTargets = new HashSet<>();
    private boolean connecting = true;
    private Optional<RuntimeException> sendFailure = Optional.empty();
    private Optional<RuntimeException> cancelFailure = Optional.empty();

    /** A request sent to a target. */
    public final class SentRequest {
        private final Target target;
        private final RequestMetadata metadata;
        private final TargetAnswerListener listener;
        private boolean written;
        private long workingBeside;
        private boolean cancelled;
        private boolean ended;

        private SentRequest(Target target, RequestMetadata metadata, TargetAnswerListener listener) {
            this.target = target;
            this.metadata = metadata;
            this.listener = listener;
        }

        public Target target() {
            return target;
        }

        public RequestMetadata metadata() {
            return metadata;
        }

        public boolean isCancelled() {
            return cancelled;
        }

        public boolean isOpen() {
            return !cancelled && !ended;
        }

        /** Opens the connection, so that the request is written if it may be. */
        public void connect() {
            if (written || !isOpen()) {
                return;
            }
            boolean permitted = listener.onSending(new ConnectionUse(sentRequests.indexOf(this) + 1, 0));
            workingBeside = sentRequests.stream()
                    .filter(sent -> sent != this && sent.written && sent.isOpen())
                    .count();
            written = permitted && isOpen();
            ended |= !permitted;
        }

        /** Returns the number of targets that had the request when it was written to this one. */
        public long workingBeside() {
            return workingBeside;
        }

        public boolean isWritten() {
            return written;
        }

        public void answerNotExecuted(TargetAnswerListener.NotExecuted reason) {
            ended = true;
            listener.onNotExecuted(reason, NO_LOAD);
        }

        public void answerHead(int status, boolean stream) {
            answerHead(status, stream, NO_LOAD);
        }

        public void answerHead(int status, boolean stream, TargetLoad load) {
            listener.onHead(
                    new TargetAnswerHead(
                            status, List.of(new Header("Seal", target.id().value())), stream),
                    load);
        }

        public void answerPart(String text) {
            listener.onPart(text.getBytes(StandardCharsets.UTF_8));
        }

        public void endAnswer() {
            ended = true;
            listener.onEnd();
        }

        public void fail(boolean mayHaveRun) {
            ended = true;
            listener.onFailed(mayHaveRun, "failure made by a test");
        }
    }

    @Override
    public Cancellable send(
            Target target,
            GatewayRequest request,
            RequestMetadata metadata,
            Duration maxIdleTime,
            TargetAnswerListener listener) {
        SentRequest sentRequest = new SentRequest(target, metadata, listener);
        sentRequests.add(sentRequest);
        if (connecting) {
            sentRequest.connect();
        }
        sendFailure.ifPresent(failure -> {
            throw failure;
        });
        return () -> {
            sentRequest.cancelled = true;
            cancelFailure.ifPresent(failure -> {
                throw failure;
            });
        };
    }

    /** Makes all further calls fail once their request has been sent. */
    public void failSends(RuntimeException failure) {
        sendFailure = Optional.of(failure);
    }

    /** Makes the cancellation of calls fail. */
    public void failCancellations(RuntimeException failure) {
        cancelFailure = Optional.of(failure);
    }

    @Override
    public void checkEnded(Target target, Consumer<Boolean> onResult) {
        onResult.accept(endedTargets.contains(target.id()));
    }

    /** Sets whether connections to targets are opened, so that requests are sent. */
    public void setConnecting(boolean newConnecting) {
        connecting = newConnecting;
    }

    /** Makes checks find that a target has ended. */
    public void endTarget(String target) {
        endedTargets.add(TargetId.of(target));
    }

    public List<SentRequest> sentRequests() {
        return sentRequests;
    }

    public SentRequest lastRequest() {
        return sentRequests.get(sentRequests.size() - 1);
    }

    public List<SentRequest> openRequests() {
        return sentRequests.stream().filter(SentRequest::isOpen).toList();
    }
}
