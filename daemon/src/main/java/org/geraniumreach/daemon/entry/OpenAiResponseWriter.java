package org.geraniumreach.daemon.entry;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.geraniumreach.daemon.metrics.RequestClass;

/**
 * Formats one answer as OpenAI-compatible JSON, as a single response or as chunks of a stream.
 *
 * <p>Immutable and safe for use by several threads.
 */
final class OpenAiResponseWriter {

    /** The data of the event that terminates a stream. */
    static final byte[] DONE = "[DONE]".getBytes(StandardCharsets.US_ASCII);

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final boolean chat;
    private final String id;
    private final String model;
    private final long createdSeconds;

    OpenAiResponseWriter(RequestClass kind, String attempt, String model, long createdSeconds) {
        this.chat = kind == RequestClass.CHAT;
        this.id = (chat ? "chatcmpl-" : "cmpl-") + attempt;
        this.model = model;
        this.createdSeconds = createdSeconds;
    }

    /**
     * Formats a complete response.
     *
     * @param text the generated text, not null
     * @param usage the tokens used, not null
     * @param finishReason why the generation ended, not null
     * @return the JSON object, not null
     */
    ObjectNode fullResponse(String text, Usage usage, String finishReason) {
        ObjectNode answer = start(chat ? "chat.completion" : "text_completion");
        ObjectNode choice = choice(answer);
        if (chat) {
            choice.putObject("message").put("role", "assistant").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", finishReason);
        putUsage(answer, usage);
        return answer;
    }

    /**
     * Formats a chunk of a streamed answer.
     *
     * @param text the text of the chunk, not null
     * @param first whether it is the first chunk
     * @return the event's data
     */
    byte[] chunk(String text, boolean first) {
        ObjectNode answer = start(chunkKind());
        ObjectNode choice = choice(answer);
        if (chat) {
            ObjectNode delta = choice.putObject("delta");
            if (first) {
                delta.put("role", "assistant");
            }
            delta.put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.putNull("finish_reason");
        return bytes(answer);
    }

    /**
     * Formats the final chunk of a streamed answer, which carries the finish reason.
     *
     * @param finishReason why the generation ended, not null
     * @return the event's data
     */
    byte[] finalChunk(String finishReason) {
        ObjectNode answer = start(chunkKind());
        ObjectNode choice = choice(answer);
        if (chat) {
            choice.putObject("delta");
        } else {
            choice.put("text", "");
        }
        choice.put("finish_reason", finishReason);
        return bytes(answer);
    }

    /**
     * Formats the usage chunk, sent at the end of a stream if the caller asked for it.
     *
     * @param usage the tokens used, not null
     * @return the event's data
     */
    byte[] usageChunk(Usage usage) {
        ObjectNode answer = start(chunkKind());
        answer.putArray("choices");
        putUsage(answer, usage);
        return bytes(answer);
    }

    /**
     * The tokens that a request used.
     *
     * @param promptTokens the tokens of the prompt
     * @param generatedTokens the tokens of the answer
     */
    record Usage(long promptTokens, long generatedTokens) {}

    private String chunkKind() {
        return chat ? "chat.completion.chunk" : "text_completion";
    }

    private ObjectNode start(String kind) {
        ObjectNode answer = MAPPER.createObjectNode();
        answer.put("id", id);
        answer.put("object", kind);
        answer.put("created", createdSeconds);
        answer.put("model", model);
        return answer;
    }

    private static ObjectNode choice(ObjectNode answer) {
        return answer.putArray("choices").addObject().put("index", 0);
    }

    private static void putUsage(ObjectNode answer, Usage usage) {
        answer.putObject("usage")
                .put("prompt_tokens", usage.promptTokens())
                .put("completion_tokens", usage.generatedTokens())
                .put("total_tokens", usage.promptTokens() + usage.generatedTokens());
    }

    private static byte[] bytes(ObjectNode answer) {
        return answer.toString().getBytes(StandardCharsets.UTF_8);
    }
}
