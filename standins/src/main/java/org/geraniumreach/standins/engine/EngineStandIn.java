package org.geraniumreach.standins.engine;

import java.io.IOException;
import java.net.URI;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.standins.http.Answer;
import org.geraniumreach.standins.http.Call;
import org.geraniumreach.standins.http.Faults;
import org.geraniumreach.standins.http.LineSink;
import org.geraniumreach.standins.http.StandIn;
import org.geraniumreach.standins.http.StandInServer;

/**
 * The stand-in for a model engine, served over HTTP.
 *
 * <p>Safe for use by several threads.
 */
public final class EngineStandIn implements StandIn {

    private static final String STREAMS_PATH = "/v1/streams";
    private static final String STREAM_PATH_PREFIX = STREAMS_PATH + "/";
    private static final int MAXIMUM_ITEMS_PER_RESPONSE = 10_000;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;

    private final Engine engine;
    private final EngineThread thread;
    private final CacheEvents cacheEvents;
    private final WeightClient weights;
    private final StandInServer server;
    private volatile Engine.EngineLoad reportedLoad = new Engine.EngineLoad(0, 0);

    /**
     * Starts the engine and its HTTP server.
     *
     * @param port the port to listen on
     * @param settings the engine settings, not null
     * @param weightStore the weight store's URL, not null
     * @param timer runs delayed and periodic tasks, not null
     * @throws IOException if the port cannot be bound
     */
    public EngineStandIn(int port, EngineSettings settings, URI weightStore, ScheduledExecutorService timer)
            throws IOException {
        this.cacheEvents = new CacheEvents(settings.eventLagMillis(), settings.eventLossPercent());
        this.engine = new Engine(settings, cacheEvents::add);
        this.thread = EngineThread.start("engine-" + port, engine, timer);
        this.weights = new WeightClient(weightStore);
        this.server = StandInServer.start("engine-" + port, port, this::handle, timer);
        long lag = Math.max(1, settings.loadLagMillis());
        timer.scheduleAtFixedRate(() -> reportedLoad = engine.load(), lag, lag, TimeUnit.MILLISECONDS);
    }

    @Override
    public StandInServer server() {
        return server;
    }

    @Override
    public void restart() {
        engine.restart();
        thread.flushReaders();
        server.dropConnections();
    }

    @Override
    public CompletionStage<Answer> administer(Call call) {
        return switch (call.route()) {
            case "GET /admin/ran" -> streamRecords(call).toCompletedStage();
            case "GET /admin/figures" -> Answer.of(Call.JSON.valueToTree(engine.statistics()))
                    .toCompletedStage();
            default -> Answer.unknownPath(call).toCompletedStage();
        };
    }

    private CompletionStage<Answer> handle(Call call, Faults faults) throws IOException {
        try {
            return switch (call.route()) {
                case "POST " + STREAMS_PATH -> generate(call, faults).toCompletedStage();
                case "POST /v1/adapters/load" -> load(call, faults);
                case "POST /v1/adapters/unload" -> unload(call).toCompletedStage();
                case "GET /v1/state" -> state().toCompletedStage();
                case "GET /v1/ran" -> streamRecords(call).toCompletedStage();
                case "GET /v1/figures" -> Answer.of(Call.JSON.valueToTree(engine.statistics()))
                        .toCompletedStage();
                case "GET /v1/cache-events" -> events(call).toCompletedStage();
                default -> handleStream(call, faults).toCompletedStage();
            };
        } catch (Refusal e) {
            return e.toAnswer().toCompletedStage();
        }
    }

    private Answer generate(Call call, Faults faults) throws IOException, Refusal {
        GenerationOrder order = GenerationOrder.of(call.json());
        AdapterReference served = faults.wrongVersion()
                ? AdapterReference.of(order.adapter().adapter(), order.adapter().version() + "-other")
                : order.adapter();
        EngineStream stream = engine.generate(order, served);
        return Answer.ofStream(sink -> attach(stream, sink, 0, faults));
    }

    private Answer handleStream(Call call, Faults faults) {
        if (!call.path().startsWith(STREAM_PATH_PREFIX)) {
            return Answer.unknownPath(call);
        }
        AttemptId attempt = AttemptId.of(call.pathAfter(STREAM_PATH_PREFIX));
        return switch (call.method()) {
            case "GET" -> resume(attempt, (int) call.number("from", 0), faults);
            case "DELETE" -> cancel(attempt);
            default -> Answer.unknownPath(call);
        };
    }

    private Answer resume(AttemptId attempt, int from, Faults faults) {
        return engine.find(attempt)
                .map(stream -> Answer.ofStream(sink -> attach(stream, sink, from, faults)))
                .orElseGet(() -> Answer.failure(NOT_FOUND, "not-found", false, "stream unknown: " + attempt));
    }

    private void attach(EngineStream stream, LineSink sink, int from, Faults faults) {
        thread.attach(stream, new StreamReader(stream, sink, from, faults.dropAfterChunks()));
    }

    private Answer cancel(AttemptId attempt) {
        engine.cancel(attempt);
        engine.find(attempt).ifPresent(thread::sendAvailable);
        return success();
    }

    private CompletionStage<Answer> load(Call call, Faults faults) throws IOException, Refusal {
        AdapterReference adapter = GenerationOrder.adapter(call.json());
        long incarnation = engine.incarnation();
        if (!engine.beginLoad(adapter, call.json().path("fence").asLong())) {
            return success().toCompletedStage();
        }
        if (faults.failLoads()) {
            engine.endLoad(adapter, incarnation, false);
            return Answer.failure(UNAVAILABLE, "failed", false, "load failed").toCompletedStage();
        }
        return weights.fetch(adapter).thenApply(arrived -> {
            engine.endLoad(adapter, incarnation, arrived);
            return arrived ? success() : Answer.failure(UNAVAILABLE, "failed", false, "weight store failed");
        });
    }

    private Answer unload(Call call) throws IOException, Refusal {
        engine.unload(
                GenerationOrder.adapter(call.json()), call.json().path("fence").asLong());
        return success();
    }

    private Answer state() {
        ObjectNode json = Call.JSON.createObjectNode();
        json.put("incarnation", engine.incarnation());
        ArrayNode resident = json.putArray("resident");
        engine.resident().forEach(adapter -> resident.add(adapter.toString()));
        ArrayNode streams = json.putArray("streams");
        engine.attempts().forEach(attempt -> streams.add(attempt.value()));
        json.put("running", reportedLoad.running());
        json.put("waiting", reportedLoad.waiting());
        return Answer.of(json);
    }

    private Answer streamRecords(Call call) {
        int limit = (int) Math.min(MAXIMUM_ITEMS_PER_RESPONSE, call.number("limit", MAXIMUM_ITEMS_PER_RESPONSE));
        return items("streams", engine.records(call.number("after", 0), limit));
    }

    private Answer events(Call call) {
        return items("events", cacheEvents.after(call.number("after", 0), MAXIMUM_ITEMS_PER_RESPONSE));
    }

    private static Answer items(String name, List<?> items) {
        ObjectNode json = Call.JSON.createObjectNode();
        json.set(name, Call.JSON.valueToTree(items));
        return Answer.of(json);
    }

    private static Answer success() {
        return Answer.of(Call.JSON.createObjectNode().put("done", true));
    }
}
