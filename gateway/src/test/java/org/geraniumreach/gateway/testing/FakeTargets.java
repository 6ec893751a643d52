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

/** Targets that answer when a test says so. */
public final class FakeTargets implements TargetPort {

    private static final TargetLoad NO_LOAD = new TargetLoad(Optional.empty());

    private final List<Sent> sentRequests = new ArrayList<>();

    /** A request at a target. */
    public static final class Sent {
        private final Target target;
        private final Envelope envelope;
        private final TargetAnswerListener listener;
        private boolean cancelled;
        private boolean ended;

        private Sent(Target target, Envelope envelope, TargetAnswerListener listener) {
            this.target = target;
            this.envelope = envelope;
            this.listener = listener;
        }

        public Target target() {
            return target;
        }

        public Envelope envelope() {
            return envelope;
        }

        public boolean isCancelled() {
            return cancelled;
        }

        public boolean isOpen() {
            return !cancelled && !ended;
        }

        public void notExecuted(TargetAnswerListener.NotExecuted why) {
            ended = true;
            listener.notExecuted(why, NO_LOAD);
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
            listener.failed(mayHaveRun, "a test's failure");
        }
    }

    @Override
    public Cancellable send(
            Target target,
            GatewayRequest request,
            Envelope envelope,
            Duration longestIdle,
            TargetAnswerListener listener) {
        Sent added = new Sent(target, envelope, listener);
        sentRequests.add(added);
        return () -> added.cancelled = true;
    }

    @Override
    public Cancellable order(Target target, Order order, String holder, Consumer<OrderResult> result) {
        throw new UnsupportedOperationException("no orders here");
    }

    @Override
    public Cancellable report(Target target, Consumer<Optional<TargetReport>> result) {
        throw new UnsupportedOperationException("no reports here");
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
