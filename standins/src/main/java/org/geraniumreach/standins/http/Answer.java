package org.geraniumreach.standins.http;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The HTTP answer of a stand-in: a body, or a stream of lines.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param status the HTTP status
 * @param body the body, ignored for a stream
 * @param stream receives the sink to write lines to, or null for a body
 */
public record Answer(int status, byte[] body, Consumer<LineSink> stream) {

    private static final int OK = 200;

    /**
     * Creates a successful answer with a JSON body.
     *
     * @param json the body, not null
     * @return the answer, not null
     */
    public static Answer of(JsonNode json) {
        return new Answer(OK, json.toString().getBytes(StandardCharsets.UTF_8), null);
    }

    /**
     * Creates a successful answer with a binary body.
     *
     * @param body the body, not null
     * @return the answer, not null
     */
    public static Answer ofBytes(byte[] body) {
        return new Answer(OK, body, null);
    }

    /**
     * Creates a successful answer that streams lines.
     *
     * @param stream receives the sink to write lines to, not null
     * @return the answer, not null
     */
    public static Answer ofStream(Consumer<LineSink> stream) {
        return new Answer(OK, new byte[0], stream);
    }

    /**
     * Creates an answer that reports a failed call.
     *
     * @param status the HTTP status
     * @param reason the reason code, not null
     * @param tookEffect whether the call may have taken effect
     * @param message a description of the failure, not null
     * @return the answer, not null
     */
    public static Answer failure(int status, String reason, boolean tookEffect, String message) {
        JsonNode json = Call.JSON
                .createObjectNode()
                .put("reason", reason)
                .put("effect", tookEffect ? "unknown" : "none")
                .put("message", message);
        return new Answer(status, json.toString().getBytes(StandardCharsets.UTF_8), null);
    }

    /**
     * Creates an answer that rejects a malformed call.
     *
     * @param message a description of the failure, not null
     * @return the answer, not null
     */
    public static Answer malformed(String message) {
        return failure(400, "malformed", false, message);
    }

    /**
     * Creates an answer that rejects an unknown method and path.
     *
     * @param call the call, not null
     * @return the answer, not null
     */
    public static Answer unknownPath(Call call) {
        return failure(400, "unknown-path", false, "no such call: " + call.method() + " " + call.path());
    }

    /**
     * Returns a stage that is already completed with this answer.
     *
     * @return the stage, not null
     */
    public CompletionStage<Answer> toCompletedStage() {
        return CompletableFuture.completedFuture(this);
    }
}
