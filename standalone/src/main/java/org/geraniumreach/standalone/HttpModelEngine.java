package org.geraniumreach.standalone;

import java.net.http.HttpRequest;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.ports.ModelEngine;
import org.geraniumreach.ports.PlatformException;
import org.geraniumreach.ports.PlatformException.Effect;
import org.geraniumreach.ports.PlatformException.Reason;

/**
 * Controls a model engine over HTTP; streams are JSON lines.
 *
 * <p>Loads and streams use connection pools of their own, since a load takes longer than other calls. Safe for use by
 * several threads.
 */
final class HttpModelEngine implements ModelEngine {

    private final HttpTransport callTransport;
    private final HttpTransport loadTransport;
    private final HttpTransport streamTransport;
    private final Duration silenceLimit;
    private final ScheduledExecutorService timer;

    HttpModelEngine(
            HttpTransport callTransport,
            HttpTransport loadTransport,
            HttpTransport streamTransport,
            Duration silenceLimit,
            ScheduledExecutorService timer) {
        this.callTransport = callTransport;
        this.loadTransport = loadTransport;
        this.streamTransport = streamTransport;
        this.silenceLimit = silenceLimit;
        this.timer = timer;
    }

    @Override
    public EngineStream generate(Generation generation, CommandFence fence, EngineListener listener) {
        ObjectNode body = commandJson(generation.adapter(), fence)
                .put("attempt", generation.attempt().value())
                .put("account", generation.account().value())
                .put("prompt", generation.prompt())
                .put("maximumTokens", generation.maximumTokens())
                .put("priority", generation.priority());
        HttpRequest request = streamTransport.post("/v1/streams", body);
        return HttpEngineStream.open(streamTransport, request, 0, failure -> failure, silenceLimit, timer, listener);
    }

    @Override
    public EngineStream resume(AttemptId attempt, long nextSequence, EngineListener listener) {
        QueryPath path = QueryPath.of("/v1/streams/" + attempt.value()).with("from", nextSequence);
        HttpRequest request = streamTransport.request(path.text()).GET().build();
        return HttpEngineStream.open(
                streamTransport,
                request,
                nextSequence,
                HttpModelEngine::toResumeFailure,
                silenceLimit,
                timer,
                listener);
    }

    /**
     * Corrects the effect of a failed resume: the stream is known not to run only if the engine does not know it; an
     * engine that cannot be reached may be running it.
     *
     * @param failure the failure of the call
     * @return the failure of the stream
     */
    private static PlatformException toResumeFailure(PlatformException failure) {
        Effect effect = failure.reason() == Reason.NOT_FOUND ? Effect.NONE : Effect.UNKNOWN;
        return new PlatformException(effect, failure.reason(), failure.getMessage(), failure);
    }

    @Override
    public void cancel(AttemptId attempt) throws PlatformException {
        callTransport.call(
                callTransport.request("/v1/streams/" + attempt.value()).DELETE().build());
    }

    @Override
    public void load(AdapterReference adapter, CommandFence fence) throws PlatformException {
        loadTransport.call(loadTransport.post("/v1/adapters/load", commandJson(adapter, fence)));
    }

    @Override
    public void unload(AdapterReference adapter, CommandFence fence) throws PlatformException {
        callTransport.call(callTransport.post("/v1/adapters/unload", commandJson(adapter, fence)));
    }

    @Override
    public State state() throws PlatformException {
        JsonNode answer = callTransport.callForJson(
                callTransport.request("/v1/state").GET().build());
        if (!answer.path("incarnation").canConvertToLong()
                || !answer.path("resident").isArray()) {
            throw new PlatformException(Effect.UNKNOWN, Reason.BAD_ANSWER, "state lacks incarnation or resident", null);
        }
        return new State(
                answer.path("incarnation").asLong(),
                parseAdapters(answer.path("resident")),
                parseAttempts(answer.path("streams")),
                answer.path("running").asInt(),
                answer.path("waiting").asInt());
    }

    private static Set<AdapterReference> parseAdapters(JsonNode names) throws PlatformException {
        Set<AdapterReference> adapters = new HashSet<>();
        for (JsonNode name : names) {
            adapters.add(AdapterReference.parse(name.asText())
                    .orElseThrow(() -> new PlatformException(
                            Effect.UNKNOWN, Reason.BAD_ANSWER, "not an adapter: '" + name.asText() + "'", null)));
        }
        return Set.copyOf(adapters);
    }

    private static Set<AttemptId> parseAttempts(JsonNode names) {
        Set<AttemptId> attempts = new HashSet<>();
        names.forEach(name -> attempts.add(AttemptId.of(name.asText())));
        return Set.copyOf(attempts);
    }

    private static ObjectNode commandJson(AdapterReference adapter, CommandFence fence) {
        return HttpTransport.JSON
                .createObjectNode()
                .put("adapter", adapter.adapter())
                .put("version", adapter.version())
                .put("fence", fence.fencingToken())
                .put("validForMillis", fence.validFor().toMillis());
    }
}
