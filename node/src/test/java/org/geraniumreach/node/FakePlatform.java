package org.geraniumreach.node;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
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
    private static final long LOAD_MILLIS = 250;
    private static final int DEFAULT_MAXIMUM_CONNECTIONS = 300;
    private static final String DEFAULT_SOFTWARE_VERSION = "v1";

    private static final String CONFIGURATION =
            """
            {"version":1,
             "routes":[{"name":"chat","host":"127.0.0.1","prefix":"/chat/","route_type":"streaming","timeout_ms":5000,
                        "target_latency_ms":800,"priority":1,"service":"engines","max_attempts":2,"resumable":true},
                       {"name":"look","host":"127.0.0.1","prefix":"/look/","route_type":"idempotent","timeout_ms":5000,
                        "target_latency_ms":300,"service":"plain","max_attempts":2},
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
    private final HttpServer storeServer;
    private final FakeStore store = new FakeStore();
    private final Map<String, FakeTarget> targets = new ConcurrentHashMap<>();

    /** A call that reached a target. */
    record Arrival(long nanos, String path, Optional<String> requestId) {

        boolean isRequest() {
            return requestId.isPresent();
        }
    }

    /** What a target can tell of a request. */
    record FakeRequest(String body, List<String> promptParts) {

        private static FakeRequest of(HttpExchange exchange, byte[] body) {
            String parts = Optional.ofNullable(exchange.getRequestHeaders().getFirst("X-Prompt-Prefix"))
                    .orElse("");
            return new FakeRequest(
                    new String(body, StandardCharsets.UTF_8),
                    Arrays.stream(parts.split(","))
                            .map(part -> part.split(":")[0])
                            .toList());
        }
    }

    /** An answer of a target besides its usual headers; a status of 200 runs the request. */
    record Behavior(int status, Map<String, String> headers) {
        static final Behavior HEALTHY = new Behavior(200, Map.of());

        static Behavior healthyWith(String name, String value) {
            return new Behavior(200, Map.of(name, value));
        }
    }

    /**
     * The stream that a target generates.
     *
     * @param eventCount the number of events of a whole stream
     * @param intervalMillis the time before each event
     * @param failAfter the event after which the target closes the connection, empty to complete the stream
     */
    record Generation(int eventCount, long intervalMillis, OptionalInt failAfter) {
        static final Generation SINGLE_EVENT = new Generation(1, 0, OptionalInt.empty());
    }

    /** A target of one service, which answers as its behavior tells. */
    final class FakeTarget {
        private final String name;
        private final HttpServer server;
        private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
        private final Set<String> resident = ConcurrentHashMap.newKeySet();
        private final Set<String> loading = ConcurrentHashMap.newKeySet();
        private final AtomicInteger acceptedOrders = new AtomicInteger();
        private final String service;
        private volatile InetSocketAddress address;
        private volatile String softwareVersion;
        private volatile long startedAt = 1;
        private volatile Behavior behavior = Behavior.HEALTHY;
        private volatile Generation generation = Generation.SINGLE_EVENT;
        private volatile Predicate<FakeRequest> endingRequests = request -> false;
        private volatile Optional<PausableRelay> process = Optional.empty();
        private volatile boolean ended;

        private FakeTarget(String name, String service, String softwareVersion) throws IOException {
            this.name = name;
            this.service = service;
            this.softwareVersion = softwareVersion;
            this.server = open();
            this.address = server.getAddress();
            resident.add("a1");
            serve(server, this::answer);
            writeRow("ready");
        }

        private void writeRow(String state) {
            String models = service.startsWith("engines")
                    ? "[{\"name\":\"base\",\"version\":1,\"adapters\":[\"a1@1\"]}]"
                    : "[]";
            store.put(
                    "servers",
                    name,
                    String.format(
                            "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"loopback\",\"version\":\"%s\",\"slots\":64,"
                                    + "\"state\":\"%s\",\"sequence\":0,\"born\":%d,\"models\":%s}",
                            service, HOST, address.getPort(), softwareVersion, state, startedAt, models));
        }

        InetSocketAddress address() {
            return address;
        }

        /** Writes a row with the address of a relay to this target, so that entries reach it only through the relay. */
        void reachThrough(InetSocketAddress relay) {
            address = relay;
            writeRow("ready");
        }

        String softwareVersion() {
            return softwareVersion;
        }

        void generate(Generation newGeneration) {
            generation = newGeneration;
        }

        /**
         * Makes the process of the target end as soon as it begins to answer such a request; its row stays. The relay before it stops to listen
         * before connections are closed, like a process that ends; the server alone does both in any order.
         */
        void endOn(Predicate<FakeRequest> requests) throws IOException {
            endingRequests = requests;
            process = Optional.of(new PausableRelay(address));
            reachThrough(process.get().address());
        }

        private void end() throws IOException {
            ended = true;
            process.orElseThrow().close();
            server.stop(0);
        }

        boolean hasEnded() {
            return ended;
        }

        /** Tells the store that the target takes no new requests. */
        void drain() {
            writeRow("draining");
        }

        /** Removes the target's row; the target still answers. */
        void removeRow() {
            store.remove("servers", name);
        }

        /** Removes the target's row and stops answering. */
        void leave() {
            store.remove("servers", name);
            server.stop(0);
            targets.remove(name);
        }

        /** Restarts under the same name and address with another software version; the row follows only when it is written. */
        void restartWith(String newVersion) {
            softwareVersion = newVersion;
            startedAt++;
        }

        /** Writes the row of a target that is ready. */
        void writeHeartbeat() {
            writeRow("ready");
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
            id.ifPresent(requestId -> exchange.getResponseHeaders().set("X-Attempt-Id", requestId));
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
                exchange.getResponseHeaders().set("X-Server-Seal", name);
                if (endingRequests.test(FakeRequest.of(exchange, body))) {
                    end();
                    return;
                }
                generateEvents(exchange);
            }
        }

        /** Writes the events after the caller's last one; each carries the software version that wrote it. */
        private void generateEvents(HttpExchange exchange) throws IOException {
            Generation current = generation;
            String writer = softwareVersion;
            String lastEvent = exchange.getRequestHeaders().getFirst("Last-Event-Id");
            int first = lastEvent == null ? 1 : Integer.parseInt(lastEvent) + 1;
            List<byte[]> events = IntStream.rangeClosed(first, current.eventCount())
                    .mapToObj(
                            number -> ("id: " + number + "\ndata: " + writer + "\n\n").getBytes(StandardCharsets.UTF_8))
                    .toList();
            exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
            exchange.sendResponseHeaders(
                    200, events.stream().mapToInt(event -> event.length).sum());
            OutputStream out = exchange.getResponseBody();
            for (int index = 0; index < events.size(); index++) {
                pause(current.intervalMillis());
                out.write(events.get(index));
                out.flush();
                if (current.failAfter().isPresent()
                        && first + index >= current.failAfter().getAsInt()) {
                    throw new IOException("the target fails");
                }
            }
            out.close();
        }

        private String report() {
            String adapters =
                    resident.stream().map(adapter -> '"' + adapter + "@1\"").collect(Collectors.joining(","));
            return "{\"stage\":\"both\",\"models\":[{\"name\":\"base\",\"version\":1,\"adapters\":[" + adapters
                    + "]}],\"busy\":false,\"sequence\":" + acceptedOrders.get() + ",\"queued\":0,\"running\":0}";
        }

        private boolean isResident(String model) {
            return model == null
                    || model.indexOf('/') < 0
                    || resident.contains(model.substring(model.indexOf('/') + 1));
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
        storeServer = open();
        configure(CONFIGURATION);
        serve(storeServer, store::answer);
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

    Collection<FakeTarget> targets() {
        return targets.values();
    }

    InetSocketAddress address() {
        return storeServer.getAddress();
    }

    FakeTarget addTarget(String name, String service) throws IOException {
        return addTarget(name, service, DEFAULT_SOFTWARE_VERSION);
    }

    FakeTarget addTarget(String name, String service, String softwareVersion) throws IOException {
        FakeTarget target = new FakeTarget(name, service, softwareVersion);
        targets.put(name, target);
        return target;
    }

    /** Sets the number of connections that a target accepts from all entries together. */
    void limitConnections(int maximumConnections) {
        String limit = "\"max_connections\":";
        configure(CONFIGURATION.replace(limit + DEFAULT_MAXIMUM_CONNECTIONS, limit + maximumConnections));
    }

    /** Writes a row of any table, as another writer may. */
    void putRow(String table, String key, String value) {
        store.put(table, key, value);
    }

    /** Replaces the configuration. */
    void configure(String configuration) {
        store.put("op", "config", configuration);
    }

    /** Sets the time by which the store delays its answers. */
    void delayStore(long millis) {
        store.delay(millis);
    }

    /** Sets whether the store answers; if not, it refuses all calls. */
    void setStoreAvailable(boolean available) {
        store.setAvailable(available);
    }

    static void respond(HttpExchange exchange, int status, String type, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", type);
        exchange.sendResponseHeaders(status, bytes.length);
        try (OutputStream out = exchange.getResponseBody()) {
            out.write(bytes);
        }
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        targets.values().forEach(target -> target.server.stop(0));
        storeServer.stop(0);
        executor.shutdownNow();
    }
}
