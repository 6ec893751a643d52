package org.geraniumreach.httpclient;

import java.util.function.IntSupplier;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;

/**
 * A call that was sent and has not ended, failed or been cancelled yet.
 *
 * <p>Invariant: the listener is not called after the end, a failure or a cancellation. Confined to the event loop.
 */
final class PendingCall implements HttpCall {

    private final HttpCallRequest request;
    private final IntSupplier maxIdleConnections;
    private final HttpResponseListener listener;
    private Channel channel;
    private boolean ended;

    PendingCall(HttpCallRequest request, IntSupplier maxIdleConnections, HttpResponseListener listener) {
        this.request = request;
        this.maxIdleConnections = maxIdleConnections;
        this.listener = listener;
    }

    HttpCallRequest request() {
        return request;
    }

    IntSupplier maxIdleConnections() {
        return maxIdleConnections;
    }

    boolean isEnded() {
        return ended;
    }

    void setChannel(Channel newChannel) {
        channel = newChannel;
    }

    void onSent() {
        if (!ended) {
            listener.onSent();
        }
    }

    void onHead(HttpResponseHead head) {
        if (!ended) {
            listener.onHead(head);
        }
    }

    void onPart(byte[] part) {
        if (!ended) {
            listener.onPart(part);
        }
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
        if (ended) {
            return;
        }
        ended = true;
        if (channel != null && channel.isOpen()) {
            // Resets the connection, so that what has not reached the server's machine is discarded instead of
            // delivered later.
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }
}
