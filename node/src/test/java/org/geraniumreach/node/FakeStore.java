package org.geraniumreach.node;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;

/** The rows of a {@link FakePlatform}'s store, which a test may make slow or unavailable. Safe for use by several threads. */
final class FakeStore {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long POLL_MILLIS = 50;

    private final Map<String, Map<String, StoredRow>> tables = new HashMap<>();
    private volatile boolean available = true;
    private volatile long delayMillis;
    private long version;

    /** A stored row, whose value is empty once it has been removed. */
    private record StoredRow(Optional<byte[]> value, long version) {}

    /** Sets whether calls are answered; if not, all are refused. */
    void setAvailable(boolean isAvailable) {
        available = isAvailable;
    }

    /** Sets the time by which each answer is delayed. */
    void delay(long millis) {
        delayMillis = millis;
    }

    synchronized long put(String table, String key, String value) {
        return put(table, key, value.getBytes(StandardCharsets.UTF_8));
    }

    private synchronized long put(String table, String key, byte[] value) {
        version++;
        tables.computeIfAbsent(table, unused -> new TreeMap<>()).put(key, new StoredRow(Optional.of(value), version));
        return version;
    }

    synchronized void remove(String table, String key) {
        version++;
        tables.get(table).put(key, new StoredRow(Optional.empty(), version));
    }

    /** Answers one call. */
    void answer(HttpExchange exchange) throws IOException {
        if (!available) {
            FakePlatform.respond(exchange, 503, "text/plain", "the store is away");
            return;
        }
        FakePlatform.pause(delayMillis);
        String path = exchange.getRequestURI().getPath();
        Map<String, String> query = query(exchange);
        if (path.equals("/-/rows-tx")) {
            commit(exchange, MAPPER.readTree(exchange.getRequestBody().readAllBytes()));
            return;
        }
        if (path.equals("/-/rows-feed")) {
            FakePlatform.pause(POLL_MILLIS);
        }
        long after = path.equals("/-/rows-feed") ? Long.parseLong(query.get("after")) : 0;
        FakePlatform.respond(exchange, 200, "application/json", rows(query.get("table"), after));
    }

    private static Map<String, String> query(HttpExchange exchange) {
        return Optional.ofNullable(exchange.getRequestURI().getQuery()).stream()
                .flatMap(query -> Arrays.stream(query.split("&")))
                .map(pair -> pair.split("=", 2))
                .collect(Collectors.toMap(pair -> pair[0], pair -> pair.length > 1 ? pair[1] : ""));
    }

    private synchronized String rows(String table, long after) {
        ObjectNode page = MAPPER.createObjectNode().put("ver", version).put("now_ms", System.nanoTime() / 1_000_000);
        ArrayNode rows = page.putArray("rows");
        tables.getOrDefault(table, Map.of()).forEach((key, row) -> {
            boolean isRead = row.version() > after && (after > 0 || row.value().isPresent());
            if (isRead) {
                ObjectNode read =
                        rows.addObject().put("table", table).put("key", key).put("ver", row.version());
                row.value().ifPresentOrElse(value -> read.put("value", value), () -> read.put("tombstone", true));
            }
        });
        return page.toString();
    }

    private synchronized void commit(HttpExchange exchange, JsonNode transaction) throws IOException {
        for (JsonNode condition : transaction.path("expected_rev")) {
            StoredRow row = tables.getOrDefault(condition.path("table").asText(), Map.of())
                    .get(condition.path("key").asText());
            long current = row == null || row.value().isEmpty() ? 0 : row.version();
            if (condition.path("ver").asLong() != current) {
                FakePlatform.respond(exchange, 412, "application/json", "{\"ver\":" + version + ",\"rows\":[]}");
                return;
            }
        }
        for (JsonNode row : transaction.path("puts")) {
            put(
                    row.path("table").asText(),
                    row.path("key").asText(),
                    row.path("value").binaryValue());
        }
        for (JsonNode row : transaction.path("remove")) {
            remove(row.path("table").asText(), row.path("key").asText());
        }
        FakePlatform.respond(exchange, 200, "application/json", "{\"ver\":" + version + "}");
    }
}
