package org.geraniumreach.standins.service;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.geraniumreach.standins.http.Answer;
import org.geraniumreach.standins.http.Call;
import org.geraniumreach.standins.http.StandIn;
import org.geraniumreach.standins.http.StandInServer;

/**
 * The stand-in for a plain service: runs every operation it is called for and records each run.
 *
 * <p>It ignores idempotency keys, so duplicate calls are visible in its records. Invariant: every answered operation is
 * recorded. Safe for use by several threads.
 */
public final class ServiceStandIn implements StandIn {

    private static final String OPERATIONS_PATH = "/v1/operations/";
    private static final int MAXIMUM_RUNS_PER_RESPONSE = 10_000;

    private final long latencyMillis;
    private final ScheduledExecutorService timer;
    private final StandInServer server;
    private final List<ServiceRun> runs = new ArrayList<>();

    /**
     * Starts the service and its HTTP server.
     *
     * @param port the port to listen on
     * @param latencyMillis the duration of an operation, in milliseconds
     * @param timer runs delayed tasks, not null
     * @throws IOException if the port cannot be bound
     */
    public ServiceStandIn(int port, long latencyMillis, ScheduledExecutorService timer) throws IOException {
        this.latencyMillis = latencyMillis;
        this.timer = timer;
        this.server = StandInServer.start("service-" + port, port, (call, faults) -> handle(call), timer);
    }

    @Override
    public StandInServer server() {
        return server;
    }

    @Override
    public CompletionStage<Answer> administer(Call call) {
        return call.route().equals("GET /admin/ran")
                ? runRecords(call).toCompletedStage()
                : Answer.unknownPath(call).toCompletedStage();
    }

    private CompletionStage<Answer> handle(Call call) {
        if (call.route().equals("GET /v1/ran")) {
            return runRecords(call).toCompletedStage();
        }
        if (!call.route().startsWith("POST " + OPERATIONS_PATH)) {
            return Answer.unknownPath(call).toCompletedStage();
        }
        return run(call);
    }

    private CompletionStage<Answer> run(Call call) {
        ServiceRun run = record(call);
        ObjectNode json = Call.JSON
                .createObjectNode()
                .put("ticket", run.number())
                .put("operation", run.operation())
                .put("account", run.account())
                .put("request", run.body());
        if (latencyMillis == 0) {
            return Answer.of(json).toCompletedStage();
        }
        CompletableFuture<Answer> delayed = new CompletableFuture<>();
        timer.schedule(() -> delayed.complete(Answer.of(json)), latencyMillis, TimeUnit.MILLISECONDS);
        return delayed;
    }

    private ServiceRun record(Call call) {
        synchronized (runs) {
            ServiceRun run = new ServiceRun(
                    runs.size() + 1,
                    call.pathAfter(OPERATIONS_PATH),
                    call.header("X-Account").orElse(""),
                    call.header("X-Attempt").orElse(""),
                    new String(call.body(), StandardCharsets.UTF_8),
                    System.currentTimeMillis());
            runs.add(run);
            return run;
        }
    }

    private Answer runRecords(Call call) {
        ObjectNode json = Call.JSON.createObjectNode();
        ArrayNode array = json.putArray("runs");
        synchronized (runs) {
            int from = (int) Math.min(runs.size(), call.number("after", 0));
            int to = Math.min(runs.size(), from + MAXIMUM_RUNS_PER_RESPONSE);
            runs.subList(from, to).forEach(run -> array.add(Call.JSON.valueToTree(run)));
            json.put("total", runs.size());
        }
        return Answer.of(json);
    }
}
