package org.geraniumreach.gateway.testing;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.geraniumreach.gateway.adapter.Order;
import org.geraniumreach.gateway.adapter.OrderResult;
import org.geraniumreach.gateway.adapter.TargetReport;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.TargetAnswerHead;
import org.geraniumreach.gateway.port.TargetAnswerListener;
import org.geraniumreach.gateway.port.TargetLoad;
import org.geraniumreach.gateway.port.TargetPort;
import org.geraniumreach.gateway.request.GatewayRequest;
import org.geraniumreach.model.Header;

/** Targets whose answers are controlled by a test. */
public final class FakeTargets implements TargetPort {

    private static final TargetLoad NO_LOAD = new TargetLoad(Optional.empty());

    private final List<Sent> sentRequests = new ArrayList<>();

    /** A request sent to a target. */
    public static final class Sent {
        private final Target target;
        private final Envelope metadata;
        private final TargetAnswerListener listener;
        private boolean cancelled;
        private boolean ended;

        private Sent(Target target, Envelope metadata, TargetAnswerListener listener) {
            this.target = target;
            this.metadata = metadata;
            this.listener = listener;
        }

        public Target target() {
            return target;
        }

        public Envelope envelope() {
            return metadata;
        }

        public boolean isCancelled() {
            return cancelled;
        }

        public boolean isOpen() {
            return !cancelled && !ended;
        }

        public void notExecuted(TargetAnswerListener.NotExecuted reason) {
            ended = true;
            listener.notExecuted(reason, NO_LOAD);
        }

        public void head(int status, boolean stream) {
            listener.head(
                    new TargetAnswerHead(
                            status, List.of(new Header("Seal", target.id().value())), stream),
                    NO_LOAD);
        }

        public void part(String text) {
            listener.part(text.getBytes(StandardCharsets.UTF_8));
        }

        public void end() {
            ended = true;
            listener.end();
        }

        public void failed(boolean mayHaveRun) {
            ended = true;
            listener.failed(mayHaveRun, "failure made by a test");
        }
    }

    @Override
    public Cancellable send(
            Target target,
            GatewayRequest request,
            Envelope metadata,
            Duration maxIdleTime,
            TargetAnswerListener listener) {
        Sent sentRequest = new Sent(target, metadata, listener);
        sentRequests.add(sentRequest);
        return () -> sentRequest.cancelled = true;
    }

    @Override
    public Cancellable order(Target target, Order order, String holder, Consumer<OrderResult> onResult) {
        throw new UnsupportedOperationException("orders are not supported");
    }

    @Override
    public Cancellable report(Target target, Consumer<Optional<TargetReport>> onResult) {
        throw new UnsupportedOperationException("reports are not supported");
    }

    public List<Sent> sent() {
        return sentRequests;
    }

    public Sent last() {
        return sentRequests.get(sentRequests.size() - 1);
    }

    public List<Sent> open() {
        return sentRequests.stream().filter(Sent::isOpen).toList();
    }
}
