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
 * A model engine over HTTP; its streams are lines of JSON.
 *
 * <p>Orders and streams have connections apart, since a load takes longer than a call. Safe for use by several threads.
 */
final class HttpModelEngine implements ModelEngine {

    private final HttpTransport calls;
    private final HttpTransport loads;
    private final HttpTransport streams;
    private final Duration silenceLimit;
    private final ScheduledExecutorService timer;

    HttpModelEngine(
            HttpTransport calls,
            HttpTransport loads,
            HttpTransport streams,
            Duration silenceLimit,
            ScheduledExecutorService timer) {
        this.calls = calls;
        this.loads = loads;
        this.streams = streams;
        this.silenceLimit = silenceLimit;
        this.timer = timer;
    }

    @Override
    public EngineStream generate(Generation generation, Order order, EngineListener listener) {
        ObjectNode body = orderJson(generation.adapter(), order)
                .put("attempt", generation.attempt().value())
                .put("account", generation.account().value())
                .put("prompt", generation.prompt())
                .put("maximumTokens", generation.maximumTokens())
                .put("priority", generation.priority());
        HttpRequest request = streams.post("/v1/streams", body);
        return HttpEngineStream.open(streams, request, 0, failure -> failure, silenceLimit, timer, listener);
    }

    @Override
    public EngineStream resume(AttemptId attempt, long nextSequence, EngineListener listener) {
        Query path = Query.of("/v1/streams/" + attempt.value()).with("from", nextSequence);
        HttpRequest request = streams.request(path.text()).GET().build();
        return HttpEngineStream.open(
                streams, request, nextSequence, HttpModelEngine::resumeFailure, silenceLimit, timer, listener);
    }

    /**
     * Corrects the effect of a failed resume: only an engine that does not know the stream shows that it is not running;
     * one that cannot be reached may well be running it.
     *
     * @param failure the failure of the call
     * @return the failure of the stream
     */
    private static PlatformException resumeFailure(PlatformException failure) {
        Effect effect = failure.reason() == Reason.NOT_FOUND ? Effect.NONE : Effect.UNKNOWN;
        return new PlatformException(effect, failure.reason(), failure.getMessage(), failure);
    }

    @Override
    public void cancel(AttemptId attempt) throws PlatformException {
        calls.call(calls.request("/v1/streams/" + attempt.value()).DELETE().build());
    }

    @Override
    public void load(AdapterReference adapter, Order order) throws PlatformException {
        loads.call(loads.post("/v1/adapters/load", orderJson(adapter, order)));
    }

    @Override
    public void unload(AdapterReference adapter, Order order) throws PlatformException {
        calls.call(calls.post("/v1/adapters/unload", orderJson(adapter, order)));
    }

    @Override
    public State state() throws PlatformException {
        JsonNode answer = calls.callForJson(calls.request("/v1/state").GET().build());
        if (!answer.path("incarnation").canConvertToLong()
                || !answer.path("resident").isArray()) {
            throw new PlatformException(Effect.UNKNOWN, Reason.BAD_ANSWER, "state lacks incarnation or resident", null);
        }
        return new State(
                answer.path("incarnation").asLong(),
                resident(answer.path("resident")),
                streams(answer.path("streams")),
                answer.path("running").asInt(),
                answer.path("waiting").asInt());
    }

    private static Set<AdapterReference> resident(JsonNode names) throws PlatformException {
        Set<AdapterReference> adapters = new HashSet<>();
        for (JsonNode name : names) {
            adapters.add(AdapterReference.parse(name.asText())
                    .orElseThrow(() -> new PlatformException(
                            Effect.UNKNOWN, Reason.BAD_ANSWER, "not an adapter: '" + name.asText() + "'", null)));
        }
        return Set.copyOf(adapters);
    }

    private static Set<AttemptId> streams(JsonNode names) {
        Set<AttemptId> attempts = new HashSet<>();
        names.forEach(name -> attempts.add(AttemptId.of(name.asText())));
        return Set.copyOf(attempts);
    }

    private static ObjectNode orderJson(AdapterReference adapter, Order order) {
        return HttpTransport.JSON
                .createObjectNode()
                .put("adapter", adapter.adapter())
                .put("version", adapter.version())
                .put("fence", order.fence())
                .put("validForMillis", order.validFor().toMillis());
    }
}
