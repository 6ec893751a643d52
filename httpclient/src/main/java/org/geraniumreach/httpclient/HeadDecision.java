package org.geraniumreach.httpclient;

import java.util.Objects;

/**
 * A listener's decision on a response whose head has arrived.
 *
 * <p>Immutable and safe for use by several threads.
 */
public sealed interface HeadDecision {

    /** The body is to be received. */
    record Receive() implements HeadDecision {}

    /** The call has ended with the head: the listener is not called again, and the body is discarded. */
    record DiscardBody() implements HeadDecision {}

    /**
     * The response cannot be the one to the call, or cannot be used: the call fails, and its connection is reset, so that no other
     * call gets what still comes on it and the server stops its work.
     *
     * @param reason the reason, for logging
     */
    record Reject(String reason) implements HeadDecision {

        public Reject {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * The response is to another call. It is discarded and the one to this call awaited if the connection has carried that other call
     * before; else the call fails as with {@link Reject}.
     *
     * @param callId what names the other call
     * @param reason the reason, for logging
     */
    record AnotherCall(String callId, String reason) implements HeadDecision {

        public AnotherCall {
            Objects.requireNonNull(callId, "callId");
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * Obtains the decision to receive the body.
     *
     * @return the decision, not null
     */
    static HeadDecision receive() {
        return new Receive();
    }

    /**
     * Obtains the decision to discard the body.
     *
     * @return the decision, not null
     */
    static HeadDecision discardBody() {
        return new DiscardBody();
    }

    /**
     * Obtains the decision that the response is to another call.
     *
     * @param callId what names the other call, not null
     * @param reason the reason, for logging, not null
     * @return the decision, not null
     */
    static HeadDecision anotherCall(String callId, String reason) {
        return new AnotherCall(callId, reason);
    }

    /**
     * Obtains the decision not to use the response.
     *
     * @param reason the reason, for logging, not null
     * @return the decision, not null
     */
    static HeadDecision reject(String reason) {
        return new Reject(reason);
    }
}
