package org.geraniumreach.httpclient;

import io.netty.channel.Channel;

/**
 * A call from its sending to its end.
 *
 * <p>Invariant: its listener hears nothing after an end, a failure or a cancellation. Confined to the event loop.
 */
final class PendingCall implements HttpCall {

    private final HttpCallRequest request;
    private final HttpResponseListener listener;
    private Channel channel;
    private boolean over;

    PendingCall(HttpCallRequest request, HttpResponseListener listener) {
        this.request = request;
        this.listener = listener;
    }

    HttpCallRequest request() {
        return request;
    }

    boolean isOver() {
        return over;
    }

    void connecting(Channel opening) {
        channel = opening;
    }

    void head(HttpResponseHead head) {
        if (!over) {
            listener.head(head);
        }
    }

    void part(byte[] part) {
        if (!over) {
            listener.part(part);
        }
    }

    void end() {
        if (!over) {
            over = true;
            listener.end();
        }
    }

    void fail(CallFailure failure, String reason) {
        if (!over) {
            over = true;
            listener.failed(failure, reason);
        }
    }

    @Override
    public void cancel() {
        if (over) {
            return;
        }
        over = true;
        if (channel != null) {
            channel.close();
        }
    }
}
