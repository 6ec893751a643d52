import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** A sound metadata store of the platform: linearizable rows, transactions and feeds. */
final class StoreStandIn {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int BACKLOG = 256;

    private final ServerSocket socket;
    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private long version;

    /** A row; empty if it was dropped. */
    private record Row(Optional<String> value, long version) {}

    StoreStandIn(InetAddress address) throws IOException {
        socket = new ServerSocket(0, BACKLOG, address);
        Threads.start("store", this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    synchronized void put(String table, String key, String value) {
        version++;
        tables.computeIfAbsent(table, unused -> new TreeMap<>()).put(key, new Row(Optional.of(value), version));
        notifyAll();
    }

    private void accept() throws IOException {
        while (true) {
            Socket connection = socket.accept();
            connection.setTcpNoDelay(true);
            Threads.start("store-connection", () -> serve(connection));
        }
    }

    private void serve(Socket connection) throws IOException, InterruptedException {
        try (connection) {
            OutputStream out = connection.getOutputStream();
            for (HttpMessages.Message call = HttpMessages.read(connection.getInputStream());
                    call != null;
                    call = HttpMessages.read(connection.getInputStream())) {
                out.write(answer(call));
                out.flush();
            }
        }
    }

    private byte[] answer(HttpMessages.Message call) throws IOException, InterruptedException {
        String path = call.word(1);
        if (path.startsWith("/-/rows-get?")) {
            return json(200, rows(path, 0, false));
        }
        if (path.startsWith("/-/rows-feed?")) {
            return json(200, feed(path));
        }
        if (path.startsWith("/-/rows-tx")) {
            return commit(MAPPER.readTree(call.body()));
        }
        return json(404, MAPPER.createObjectNode());
    }

    private static byte[] json(int status, ObjectNode body) {
        return HttpMessages.response(status, "Content-Type: application/json\r\n", body.toString());
    }

    private static String parameter(String path, String name) {
        for (String pair : path.substring(path.indexOf('?') + 1).split("&")) {
            if (pair.startsWith(name + "=")) {
                return pair.substring(name.length() + 1);
            }
        }
        return "";
    }

    private synchronized ObjectNode feed(String path) throws InterruptedException {
        long after = Long.parseLong(parameter(path, "after"));
        long until = System.nanoTime() + Long.parseLong(parameter(path, "wait_ms")) * 1_000_000;
        ObjectNode page = rows(path, after, true);
        while (page.path("rows").isEmpty() && System.nanoTime() < until) {
            wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
            page = rows(path, after, true);
        }
        return page;
    }

    private synchronized ObjectNode rows(String path, long after, boolean withDropped) {
        ObjectNode page = MAPPER.createObjectNode();
        ArrayNode list = page.putArray("rows");
        String table = parameter(path, "table");
        tables.getOrDefault(table, new TreeMap<>()).entrySet().stream()
                .filter(row -> row.getValue().version() > after)
                .filter(row -> withDropped || row.getValue().value().isPresent())
                .sorted((one, other) ->
                        withDropped ? Long.compare(one.getValue().version(), other.getValue().version()) : 0)
                .forEach(row -> addRow(list, table, row.getKey(), row.getValue()));
        return page.put("ver", version).put("now_ms", System.nanoTime() / 1_000_000).put("has_more", false);
    }

    private static void addRow(ArrayNode list, String table, String key, Row row) {
        ObjectNode node = list.addObject().put("table", table).put("part", "").put("key", key).put("ver", row.version());
        if (row.value().isPresent()) {
            byte[] value = row.value().get().getBytes(StandardCharsets.UTF_8);
            node.put("value", Base64.getEncoder().encodeToString(value));
        } else {
            node.put("tombstone", true);
        }
    }

    private synchronized byte[] commit(JsonNode transaction) {
        for (JsonNode condition : transaction.path("expected_rev")) {
            Row row = tables.getOrDefault(condition.path("table").asText(), new TreeMap<>())
                    .get(condition.path("key").asText());
            long current = row == null || row.value().isEmpty() ? 0 : row.version();
            if (condition.path("ver").asLong() != current) {
                ObjectNode refused = MAPPER.createObjectNode().put("ver", version);
                refused.putArray("rows");
                return json(412, refused.put("now_ms", System.nanoTime() / 1_000_000));
            }
        }
        version++;
        for (JsonNode put : transaction.path("puts")) {
            byte[] value = Base64.getDecoder().decode(put.path("value").asText());
            write(put, Optional.of(new String(value, StandardCharsets.UTF_8)));
        }
        transaction.path("remove").forEach(row -> write(row, Optional.empty()));
        notifyAll();
        return json(200, MAPPER.createObjectNode().put("ver", version).put("now_ms", System.nanoTime() / 1_000_000));
    }

    private void write(JsonNode row, Optional<String> value) {
        tables.computeIfAbsent(row.path("table").asText(), unused -> new TreeMap<>())
                .put(row.path("key").asText(), new Row(value, version));
    }
}
