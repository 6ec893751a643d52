package org.geraniumreach.standins.store;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;

import org.geraniumreach.standins.http.Answer;
import org.geraniumreach.standins.http.Call;
import org.geraniumreach.standins.http.StandIn;
import org.geraniumreach.standins.http.StandInServer;

/**
 * The stand-in for the object store, served over HTTP.
 *
 * <p>Safe for use by several threads.
 */
public final class ObjectStoreStandIn implements StandIn {

    private static final int NOT_FOUND = 404;

    private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
    private final StandInServer server;

    /**
     * Starts the object store and its HTTP server.
     *
     * @param port the port to listen on
     * @param timer runs delayed tasks, not null
     * @throws IOException if the port cannot be bound
     */
    public ObjectStoreStandIn(int port, ScheduledExecutorService timer) throws IOException {
        this.server = StandInServer.start("objects", port, (call, faults) -> handle(call), timer);
    }

    @Override
    public StandInServer server() {
        return server;
    }

    private CompletionStage<Answer> handle(Call call) {
        String key = call.parameter("key").orElse("");
        if (key.isEmpty()) {
            return Answer.malformed("no key").toCompletedStage();
        }
        return switch (call.route()) {
            case "PUT /v1/objects" -> {
                objects.put(key, call.body());
                yield Answer.of(Call.JSON.createObjectNode().put("done", true)).toCompletedStage();
            }
            case "GET /v1/objects" -> get(key).toCompletedStage();
            default -> Answer.unknownPath(call).toCompletedStage();
        };
    }

    private Answer get(String key) {
        byte[] content = objects.get(key);
        if (content == null) {
            return Answer.failure(NOT_FOUND, "not-found", false, "no such object");
        }
        return Answer.ofBytes(content);
    }
}
