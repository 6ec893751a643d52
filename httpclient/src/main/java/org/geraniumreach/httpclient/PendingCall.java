package org.geraniumreach.httpclient;

import java.util.Optional;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import org.geraniumreach.model.ConnectionUse;

/**
 * A call that was sent and has not ended, failed or been cancelled yet.
 *
 * <p>Invariants: the listener is not called after the end, a failure or a cancellation. A call that is cancelled or whose response
 * is rejected resets its connection. Confined to the event loop.
 */
final class PendingCall implements HttpCall {

    private final HttpCallRequest request;
    private final ConnectionReuse reuse;
    private final HttpResponseListener listener;
    private Channel channel;
    private long bodyBytes;
    private boolean ended;
    private boolean cancelled;
    private boolean rejected;

    PendingCall(HttpCallRequest request, ConnectionReuse reuse, HttpResponseListener listener) {
        this.request = request;
        this.reuse = reuse;
        this.listener = listener;
    }

    HttpCallRequest request() {
        return request;
    }

    ConnectionReuse reuse() {
        return reuse;
    }

    boolean isEnded() {
        return ended;
    }

    /** Queries whether the listener has rejected the response. */
    boolean isRejected() {
        return rejected;
    }

    boolean isCancelled() {
        return cancelled;
    }

    void setChannel(Channel newChannel) {
        channel = newChannel;
    }

    /** Queries whether the request may be written now; a call that may not has ended. */
    boolean startSending(ConnectionUse use) {
        if (!ended && !listener.onSending(use)) {
            ended = true;
        }
        return !ended;
    }

    /** Passes a head on; returns the other call that the response is to, empty if it is to this one. */
    Optional<HeadDecision.AnotherCall> onHead(HttpResponseHead head) {
        if (ended) {
            return Optional.empty();
        }
        HeadDecision decision = listener.onHead(head);
        if (decision instanceof HeadDecision.AnotherCall other) {
            return Optional.of(other);
        }
        if (decision instanceof HeadDecision.DiscardBody) {
            ended = true;
        } else if (decision instanceof HeadDecision.Reject reject) {
            rejected = true;
            reject(reject.reason());
        }
        return Optional.empty();
    }

    /** Fails the call and resets its connection. */
    void reject(String reason) {
        reset();
        fail(CallFailure.BROKEN, reason);
    }

    void onPart(byte[] part) {
        if (ended) {
            return;
        }
        bodyBytes += part.length;
        if (bodyBytes > listener.maxBodyBytes()) {
            reject("a body of more than " + listener.maxBodyBytes() + " bytes");
            return;
        }
        listener.onPart(part);
    }

    void complete() {
        if (!ended) {
            ended = true;
            listener.onEnd();
        }
    }

    void fail(CallFailure failure, String reason) {
        if (!ended) {
            ended = true;
            listener.onFailed(failure, reason);
        }
    }

    @Override
    public void cancel() {
        if (!ended) {
            ended = true;
            reset();
        }
    }

    /** Resets the connection, so that what has not reached the server's machine is discarded instead of delivered later. */
    private void reset() {
        cancelled = true;
        if (channel != null && channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }
}
