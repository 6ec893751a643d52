package org.geraniumreach.standins.table;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;
import org.geraniumreach.standins.http.Answer;
import org.geraniumreach.standins.http.Call;
import org.geraniumreach.standins.http.RateLimiter;
import org.geraniumreach.standins.http.StandIn;
import org.geraniumreach.standins.http.StandInServer;

/**
 * The stand-in for the table service, served over HTTP, with limits on reads and writes per second.
 *
 * <p>Safe for use by several threads.
 */
public final class TableStandIn implements StandIn {

    private static final int MAXIMUM_ROWS = 1000;
    private static final int TOO_MANY_REQUESTS = 429;

    private final Table table = new Table();
    private final RateLimiter reads;
    private final RateLimiter writes;
    private final StandInServer server;

    /**
     * Starts the table service and its HTTP server.
     *
     * @param port the port to listen on
     * @param readsPerSecond the limit on reads per second, 0 for no limit
     * @param writesPerSecond the limit on transactions per second, 0 for no limit
     * @param timer runs delayed tasks, not null
     * @throws IOException if the port cannot be bound
     */
    public TableStandIn(int port, double readsPerSecond, double writesPerSecond, ScheduledExecutorService timer)
            throws IOException {
        this.reads = new RateLimiter(readsPerSecond);
        this.writes = new RateLimiter(writesPerSecond);
        this.server = StandInServer.start("table", port, (call, faults) -> handle(call), timer);
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
        return Answer.of(Call.JSON
                        .createObjectNode()
                        .put("reads", reads.accepted())
                        .put("readsRefused", reads.refused())
                        .put("writes", writes.accepted())
                        .put("writesRefused", writes.refused()))
                .toCompletedStage();
    }

    private CompletionStage<Answer> handle(Call call) throws IOException {
        return switch (call.route()) {
            case "GET /v1/rows" -> runWithinLimit(reads, () -> read(call)).toCompletedStage();
            case "GET /v1/scan" -> runWithinLimit(reads, () -> scan(call)).toCompletedStage();
            case "POST /v1/transactions" -> runWithinLimit(writes, () -> commit(call))
                    .toCompletedStage();
            default -> Answer.unknownPath(call).toCompletedStage();
        };
    }

    private static Answer runWithinLimit(RateLimiter limit, RowOperation operation) throws IOException {
        if (!limit.tryAcquire()) {
            return Answer.failure(TOO_MANY_REQUESTS, "throttled", false, "above the rate");
        }
        return operation.run();
    }

    private Answer read(Call call) {
        Optional<Row> row = table.read(RowKey.of(
                call.parameter("table").orElse(""), call.parameter("key").orElse("")));
        return toAnswer(row.stream().toList());
    }

    private Answer scan(Call call) {
        int limit = (int) Math.min(MAXIMUM_ROWS, call.number("limit", MAXIMUM_ROWS));
        return toAnswer(table.scan(
                call.parameter("table").orElse(""),
                call.parameter("prefix").orElse(""),
                call.parameter("after").orElse(""),
                limit));
    }

    private static Answer toAnswer(List<Row> rows) {
        ObjectNode json = Call.JSON.createObjectNode();
        ArrayNode array = json.putArray("rows");
        for (Row row : rows) {
            array.addObject()
                    .put("key", row.key().key())
                    .put("version", row.version())
                    .put("value", row.value());
        }
        return Answer.of(json);
    }

    private Answer commit(Call call) throws IOException {
        Transaction transaction = Transaction.empty();
        JsonNode json = call.json();
        for (JsonNode condition : json.path("conditions")) {
            transaction = transaction.withCondition(
                    toKey(condition), condition.path("version").asLong());
        }
        for (JsonNode write : json.path("writes")) {
            transaction = write.path("value").isTextual()
                    ? transaction.withWrite(toKey(write), write.path("value").asText())
                    : transaction.withDelete(toKey(write));
        }
        return Answer.of(Call.JSON.createObjectNode().put("committed", table.commit(transaction)));
    }

    private static RowKey toKey(JsonNode json) {
        return RowKey.of(json.path("table").asText(), json.path("key").asText());
    }

    /** An operation that fails if the call cannot be parsed. */
    @FunctionalInterface
    private interface RowOperation {
        Answer run() throws IOException;
    }
}
