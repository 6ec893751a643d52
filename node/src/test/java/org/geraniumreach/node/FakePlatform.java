package org.geraniumreach.node;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * A store and targets on loopback, whose answers a test controls.
 *
 * <p>Each target counts all calls that reach it, of any kind, by the entry that made them. Safe for use by several threads.
 */
final class FakePlatform implements AutoCloseable {

    static final String KEY = "a-key";
    private static final String HOST = "127.0.0.1";
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long POLL_MILLIS = 50;
    private static final long LOAD_MILLIS = 250;

    private static final String CONFIGURATION =
            """
            {"version":1,
             "routes":[{"name":"chat","host":"127.0.0.1","prefix":"/chat/","route_type":"streaming","timeout_ms":5000,
                        "target_latency_ms":800,"priority":1,"service":"engines","max_attempts":2,"resumable":true},
                       {"name":"book","host":"127.0.0.1","prefix":"/book/","route_type":"non_idempotent","timeout_ms":5000,
                        "target_latency_ms":300,"service":"plain","max_attempts":1}],
             "services":[{"name":"engines","max_connections":300,
                          "engine":{"slots":64,"adapter_slots":4,"models":[{"name":"base"}]}},
                         {"name":"plain","max_connections":300}],
             "limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_ms":3000,"idle_timeout_ms":15000},
             "tenants":[{"name":"acme","api_keys":["a-key"],"priority":1,"unit":"token_count","plain_tokens":1,
                         "rate_per_s":0,"burst":0}]}
            """;

    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final HttpServer store;
    private final Map<String, Map<String, StoredRow>> tables = new HashMap<>();
    private final Map<String, FakeTarget> targets = new ConcurrentHashMap<>();
    private long version;

    private record StoredRow(byte[] value, long version) {}

    /** A call that reached a target. */
    record Arrival(long nanos, String path, Optional<String> requestId) {

        boolean isRequest() {
            return requestId.isPresent();
        }
    }

    /** An answer of a target besides its usual headers; a status of 200 runs the request. */
    record Behavior(int status, Map<String, String> headers) {
        static final Behavior HEALTHY = new Behavior(200, Map.of());

        static Behavior healthyWith(String name, String value) {
            return new Behavior(200, Map.of(name, value));
        }
    }

    /** A target of one service, which answers as its behavior tells. */
    final class FakeTarget {
        private final String name;
        private final HttpServer server;
        private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
        private final Set<String> resident = ConcurrentHashMap.newKeySet();
        private final Set<String> loading = ConcurrentHashMap.newKeySet();
        private final AtomicInteger acceptedOrders = new AtomicInteger();
        private volatile Behavior behavior = Behavior.HEALTHY;

        private FakeTarget(String name, String service) throws IOException {
            this.name = name;
            this.server = open();
            resident.add("a1");
            String models =
                    service.equals("engines") ? "[{\"name\":\"base\",\"version\":1,\"adapters\":[\"a1@1\"]}]" : "[]";
            serve(server, this::answer);
            put(
                    "servers",
                    name,
                    String.format(
                            "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"loopback\",\"slots\":64,"
                                    + "\"state\":\"ready\",\"sequence\":0,\"born\":1,\"models\":%s}",
                            service, HOST, server.getAddress().getPort(), models));
        }

        void behave(Behavior newBehavior) {
            behavior = newBehavior;
        }

        List<Arrival> arrivals() {
            return arrivals;
        }

        private void answer(HttpExchange exchange) throws IOException {
            Behavior current = behavior;
            String path = exchange.getRequestURI().getPath();
            Optional<String> id =
                    Optional.ofNullable(exchange.getRequestHeaders().getFirst("X-Attempt-Id"));
            arrivals.add(new Arrival(System.nanoTime(), path, id));
            byte[] body = exchange.getRequestBody().readAllBytes();
            exchange.getResponseHeaders().set("X-Instance-Id", name);
            current.headers().forEach(exchange.getResponseHeaders()::set);
            if (path.equals("/-/report")) {
                respond(exchange, 200, "application/json", report());
            } else if (path.equals("/-/order")) {
                respond(exchange, execute(MAPPER.readTree(body)), "application/json", "{}");
            } else if (!isResident(exchange.getRequestHeaders().getFirst("X-Model"))) {
                respond(exchange, 421, "text/plain", "not resident");
            } else if (current.status() != 200) {
                exchange.getResponseHeaders().set("X-Not-Executed", "1");
                respond(exchange, current.status(), "text/plain", "no");
            } else {
                exchange.getResponseHeaders().set("X-Attempt-Id", id.orElse(""));
                exchange.getResponseHeaders().set("X-Server-Seal", name);
                respond(exchange, 200, "text/event-stream", "id: 1\ndata: one\n\n");
            }
        }

        private String report() {
            String adapters =
                    resident.stream().map(adapter -> '"' + adapter + "@1\"").collect(Collectors.joining(","));
            return "{\"stage\":\"both\",\"models\":[{\"name\":\"base\",\"version\":1,\"adapters\":[" + adapters
                    + "]}],\"busy\":false,\"sequence\":" + acceptedOrders.get() + ",\"queued\":0,\"running\":0}";
        }

        private boolean isResident(String model) {
            return model == null || resident.contains(model.substring(model.indexOf('/') + 1));
        }

        /** Loads take {@link #LOAD_MILLIS}; returns the status. */
        private synchronized int execute(JsonNode order) {
            String adapter = order.path("adapter").asText();
            boolean load = order.path("operation").asText().equals("model_load");
            if (load == resident.contains(adapter)) {
                return 200;
            }
            if (order.path("expected_rev").asInt() != acceptedOrders.get()) {
                return loading.contains(adapter) ? 202 : 409;
            }
            acceptedOrders.incrementAndGet();
            if (!load) {
                resident.remove(adapter);
                return 200;
            }
            loading.add(adapter);
            CompletableFuture.delayedExecutor(LOAD_MILLIS, TimeUnit.MILLISECONDS, executor)
                    .execute(() -> {
                        loading.remove(adapter);
                        resident.add(adapter);
                    });
            return 202;
        }
    }

    private interface Handler {
        void handle(HttpExchange exchange) throws IOException;
    }

    FakePlatform() throws IOException {
        store = open();
        put("op", "config", CONFIGURATION);
        serve(store, this::answerStore);
    }

    private static HttpServer open() throws IOException {
        return HttpServer.create(new InetSocketAddress(InetAddress.getByName(HOST), 0), 0);
    }

    private void serve(HttpServer server, Handler handler) {
        server.setExecutor(executor);
        server.createContext("/", exchange -> {
            try (exchange) {
                handler.handle(exchange);
            }
        });
        server.start();
    }

    /** Gets the target that most calls have reached; that is the home of the requests' adapter. */
    FakeTarget busiestTarget() {
        return targets.values().stream()
                .max(Comparator.comparingInt(target -> target.arrivals().size()))
                .orElseThrow();
    }

    InetSocketAddress address() {
        return store.getAddress();
    }

    FakeTarget addTarget(String name, String service) throws IOException {
        FakeTarget target = new FakeTarget(name, service);
        targets.put(name, target);
        return target;
    }

    private synchronized long put(String table, String key, String value) {
        return put(table, key, value.getBytes(StandardCharsets.UTF_8));
    }

    private synchronized long put(String table, String key, byte[] value) {
        version++;
        tables.computeIfAbsent(table, unused -> new TreeMap<>()).put(key, new StoredRow(value, version));
        return version;
    }

    private static void respond(HttpExchange exchange, int status, String type, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", type);
        exchange.sendResponseHeaders(status, bytes.length);
        try (OutputStream out = exchange.getResponseBody()) {
            out.write(bytes);
        }
    }

    private void answerStore(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath();
        Map<String, String> query = query(exchange);
        if (path.equals("/-/rows-tx")) {
            commit(exchange, MAPPER.readTree(exchange.getRequestBody().readAllBytes()));
            return;
        }
        if (path.equals("/-/rows-feed")) {
            pause();
        }
        long after = path.equals("/-/rows-feed") ? Long.parseLong(query.get("after")) : 0;
        respond(exchange, 200, "application/json", rows(query.get("table"), after));
    }

    private static Map<String, String> query(HttpExchange exchange) {
        return Optional.ofNullable(exchange.getRequestURI().getQuery()).stream()
                .flatMap(query -> Arrays.stream(query.split("&")))
                .map(pair -> pair.split("=", 2))
                .collect(Collectors.toMap(pair -> pair[0], pair -> pair.length > 1 ? pair[1] : ""));
    }

    private static void pause() {
        try {
            Thread.sleep(POLL_MILLIS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized String rows(String table, long after) {
        ObjectNode page = MAPPER.createObjectNode().put("ver", version).put("now_ms", System.nanoTime() / 1_000_000);
        ArrayNode rows = page.putArray("rows");
        tables.getOrDefault(table, Map.of()).forEach((key, row) -> {
            if (row.version() > after) {
                rows.addObject()
                        .put("table", table)
                        .put("key", key)
                        .put("ver", row.version())
                        .put("value", row.value());
            }
        });
        return page.toString();
    }

    private synchronized void commit(HttpExchange exchange, JsonNode transaction) throws IOException {
        for (JsonNode condition : transaction.path("expected_rev")) {
            StoredRow row = tables.getOrDefault(condition.path("table").asText(), Map.of())
                    .get(condition.path("key").asText());
            if (condition.path("ver").asLong() != (row == null ? 0 : row.version())) {
                respond(exchange, 412, "application/json", "{\"ver\":" + version + ",\"rows\":[]}");
                return;
            }
        }
        for (JsonNode row : transaction.path("puts")) {
            put(
                    row.path("table").asText(),
                    row.path("key").asText(),
                    row.path("value").binaryValue());
        }
        respond(exchange, 200, "application/json", "{\"ver\":" + version + "}");
    }

    @Override
    public void close() {
        targets.values().forEach(target -> target.server.stop(0));
        store.stop(0);
        executor.shutdownNow();
    }
}
