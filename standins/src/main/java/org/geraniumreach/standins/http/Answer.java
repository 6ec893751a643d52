package org.geraniumreach.standins.http;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What a stand-in answers: a body, or a stream of lines.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param status the HTTP status
 * @param body the body; not used by a stream
 * @param stream takes the lines' sink over, or null for a body
 */
public record Answer(int status, byte[] body, Consumer<LineSink> stream) {

    private static final int OK = 200;

    /**
     * Makes an answer of JSON.
     *
     * @param json the body, not null
     * @return the answer, not null
     */
    public static Answer of(JsonNode json) {
        return new Answer(OK, json.toString().getBytes(StandardCharsets.UTF_8), null);
    }

    /**
     * Makes an answer of bytes.
     *
     * @param body the body, not null
     * @return the answer, not null
     */
    public static Answer ofBytes(byte[] body) {
        return new Answer(OK, body, null);
    }

    /**
     * Makes an answer that goes on as lines.
     *
     * @param stream takes the sink over, not null
     * @return the answer, not null
     */
    public static Answer ofStream(Consumer<LineSink> stream) {
        return new Answer(OK, new byte[0], stream);
    }

    /**
     * Makes an answer that says that the call failed.
     *
     * @param status the HTTP status
     * @param reason the reason as one word, not null
     * @param tookEffect whether the call may have taken effect
     * @param message what is wrong, not null
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
     * Makes the refusal of a call that cannot be read.
     *
     * @param message what is wrong, not null
     * @return the answer, not null
     */
    public static Answer malformed(String message) {
        return failure(400, "malformed", false, message);
    }

    /**
     * Makes the answer for a path that there is not.
     *
     * @param call the call, not null
     * @return the answer, not null
     */
    public static Answer unknownPath(Call call) {
        return failure(400, "unknown-path", false, "no such call: " + call.method() + " " + call.path());
    }

    /**
     * Gets this answer as one that is there already.
     *
     * @return the stage, not null
     */
    public CompletionStage<Answer> toCompletedStage() {
        return CompletableFuture.completedFuture(this);
    }
}
