package org.geraniumreach.standins.store;

import java.io.IOException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;

import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.standins.http.Answer;
import org.geraniumreach.standins.http.Call;
import org.geraniumreach.standins.http.Faults;
import org.geraniumreach.standins.http.StandIn;
import org.geraniumreach.standins.http.StandInServer;

/**
 * The stand-in for the weight store, served over HTTP.
 *
 * <p>Safe for use by several threads.
 */
public final class WeightStoreStandIn implements StandIn {

    private static final String WEIGHTS_PATH = "/v1/weights/";
    private static final int UNAVAILABLE = 503;

    private final WeightStore store;
    private final StandInServer server;

    /**
     * Starts the HTTP server of the weight store.
     *
     * @param port the port to listen on
     * @param store simulates the transfers, not null
     * @param timer runs delayed tasks, not null
     * @throws IOException if the port cannot be bound
     */
    public WeightStoreStandIn(int port, WeightStore store, ScheduledExecutorService timer) throws IOException {
        this.store = store;
        this.server = StandInServer.start("weights", port, this::handle, timer);
    }

    @Override
    public StandInServer server() {
        return server;
    }

    @Override
    public CompletionStage<Answer> administer(Call call) throws IOException {
        if (!call.route().equals("GET /admin/counters")) {
            return Answer.unknownPath(call).toCompletedStage();
        }
        return Answer.of(Call.JSON.valueToTree(store.statistics())).toCompletedStage();
    }

    private CompletionStage<Answer> handle(Call call, Faults faults) {
        if (!call.route().startsWith("GET " + WEIGHTS_PATH)) {
            return Answer.unknownPath(call).toCompletedStage();
        }
        if (faults.failLoads()) {
            return Answer.failure(UNAVAILABLE, "failed", false, "load failed").toCompletedStage();
        }
        String name = call.pathAfter(WEIGHTS_PATH);
        if (AdapterReference.parse(name).isEmpty()) {
            return Answer.malformed("not an adapter and version: '" + name + "'")
                    .toCompletedStage();
        }
        return store.startTransfer()
                .thenApply(completed -> Answer.of(Call.JSON.createObjectNode().put("adapter", name)));
    }
}
