package org.geraniumreach.daemon.entry;

import com.fasterxml.jackson.databind.JsonNode;
import org.geraniumreach.daemon.metrics.RequestClass;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServingException;

/**
 * Reads OpenAI-compatible completion and chat requests.
 *
 * <p>Contract: sampling parameters and unknown fields are ignored, so that clients which send them work unchanged.
 * Immutable and safe for use by several threads.
 */
final class OpenAiRequestReader {

    private final GenerationLimits limits;

    OpenAiRequestReader(GenerationLimits limits) {
        this.limits = limits;
    }

    GenerationRequest completion(JsonNode body) throws ServingException {
        String prompt = requireText(body, "prompt");
        return read(RequestClass.COMPLETION, body, prompt, 0);
    }

    GenerationRequest chat(JsonNode body) throws ServingException {
        JsonNode messages = body.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            throw malformed("messages", "must be a list with at least one message");
        }
        StringBuilder prompt = new StringBuilder();
        int prefixLength = 0;
        for (JsonNode message : messages) {
            prefixLength = prompt.length();
            prompt.append(requireText(message, "role"))
                    .append(": ")
                    .append(content(message))
                    .append('\n');
        }
        return read(RequestClass.CHAT, body, prompt.toString(), prefixLength);
    }

    private GenerationRequest read(RequestClass kind, JsonNode body, String prompt, int prefixLength)
            throws ServingException {
        if (prompt.isEmpty()) {
            throw malformed("prompt", "must not be empty");
        }
        return new GenerationRequest(
                kind,
                requireText(body, "model"),
                prompt,
                prefixLength,
                maximumTokens(body),
                readBoolean(body, "stream"),
                readBoolean(body.path("stream_options"), "include_usage"));
    }

    private int maximumTokens(JsonNode body) throws ServingException {
        String field = body.has("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
        JsonNode node = body.path(field);
        if (node.isMissingNode() || node.isNull()) {
            return Math.min(limits.defaultTokens(), limits.maximumTokens());
        }
        if (!node.isIntegralNumber()) {
            throw malformed(field, "must be a whole number");
        }
        if (!node.canConvertToInt() || node.intValue() < 1 || node.intValue() > limits.maximumTokens()) {
            throw ServingException.notRun(
                    ResultCode.TOKENS_OUT_OF_RANGE,
                    field + ": " + node.asText() + " is not from 1 to " + limits.maximumTokens());
        }
        return node.intValue();
    }

    private static String content(JsonNode message) throws ServingException {
        JsonNode content = message.path("content");
        if (!content.isArray()) {
            return requireText(message, "content");
        }
        StringBuilder parts = new StringBuilder();
        for (JsonNode part : content) {
            parts.append(requireText(part, "text"));
        }
        return parts.toString();
    }

    private static String requireText(JsonNode body, String field) throws ServingException {
        JsonNode node = body.path(field);
        if (!node.isTextual()) {
            throw malformed(field, "must be text");
        }
        return node.textValue();
    }

    private static boolean readBoolean(JsonNode body, String field) throws ServingException {
        JsonNode node = body.path(field);
        if (node.isMissingNode() || node.isNull()) {
            return false;
        }
        if (!node.isBoolean()) {
            throw malformed(field, "must be true or false");
        }
        return node.booleanValue();
    }

    private static ServingException malformed(String field, String fault) {
        return ServingException.notRun(ResultCode.MALFORMED_REQUEST, field + ": " + fault);
    }
}
