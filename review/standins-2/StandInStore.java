import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The platform's store in memory: rows in tables, transactions under conditions, and feeds of changes. Safe for use by several threads. */
final class StandInStore implements AutoCloseable {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final ServerSocket server;
    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private final long startedAt = System.nanoTime();
    private long version = 1;

    private record Row(long version, Optional<String> value) {}

    StandInStore(String ip) throws IOException {
        server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName(ip), 0));
        Threads.start("store", this::accept);
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    /** Writes a row as the operator or a worker does. */
    synchronized long put(String table, String key, Optional<String> text) {
        version++;
        Optional<String> value = text.map(
                plain -> Base64.getEncoder().encodeToString(plain.getBytes(StandardCharsets.UTF_8)));
        tables.computeIfAbsent(table, unused -> new TreeMap<>()).put(key, new Row(version, value));
        notifyAll();
        return version;
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            Threads.start("store connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            StandInHttp reader = new StandInHttp(socket.getInputStream());
            for (Optional<StandInHttp.Message> next = reader.read(false); next.isPresent(); next = reader.read(false)) {
                String[] parts = next.get().target().split("\\?", 2);
                if (parts[0].equals("/-/rows-tx")) {
                    Thread.sleep(5);
                    commit(MAPPER.readTree(next.get().body()), socket.getOutputStream());
                } else if (parts[0].equals("/-/rows-get")) {
                    Thread.sleep(4);
                    answer(socket.getOutputStream(), 200, read(parameters(parts[1])));
                } else if (parts[0].equals("/-/rows-feed")) {
                    Thread.sleep(4);
                    answer(socket.getOutputStream(), 200, feed(parameters(parts[1])));
                } else {
                    answer(socket.getOutputStream(), 404, document());
                }
            }
        }
    }

    private static Map<String, String> parameters(String query) {
        Map<String, String> parameters = new HashMap<>();
        for (String pair : query.split("&")) {
            int equals = pair.indexOf('=');
            parameters.put(
                    pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return parameters;
    }

    private static void answer(OutputStream output, int status, ObjectNode document) throws IOException {
        byte[] body = document.toString().getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: " + body.length
                + "\r\n\r\n";
        byte[] whole = new byte[head.length() + body.length];
        System.arraycopy(head.getBytes(StandardCharsets.US_ASCII), 0, whole, 0, head.length());
        System.arraycopy(body, 0, whole, head.length(), body.length);
        output.write(whole);
        output.flush();
    }

    private synchronized ObjectNode document() {
        return MAPPER.createObjectNode()
                .put("ver", version)
                .put("now_ms", (System.nanoTime() - startedAt) / 1_000_000);
    }

    private synchronized void commit(JsonNode transaction, OutputStream output) throws IOException {
        boolean holds = true;
        for (JsonNode condition : transaction.path("expected_rev")) {
            holds &= versionOf(condition) == condition.path("ver").asLong();
        }
        if (!holds) {
            ObjectNode refused = document();
            ArrayNode rows = refused.putArray("rows");
            for (JsonNode condition : transaction.path("expected_rev")) {
                rows.addObject()
                        .put("table", condition.path("table").asText())
                        .put("part", "")
                        .put("key", condition.path("key").asText())
                        .put("ver", versionOf(condition));
            }
            answer(output, 412, refused);
            return;
        }
        version++;
        for (JsonNode put : transaction.path("puts")) {
            write(put, Optional.of(put.path("value").asText()));
        }
        for (JsonNode removed : transaction.path("remove")) {
            write(removed, Optional.empty());
        }
        notifyAll();
        answer(output, 200, document());
    }

    private long versionOf(JsonNode name) {
        return Optional.ofNullable(tables.get(name.path("table").asText()))
                .flatMap(table -> Optional.ofNullable(table.get(name.path("key").asText())))
                .filter(row -> row.value().isPresent())
                .map(Row::version)
                .orElse(0L);
    }

    private void write(JsonNode name, Optional<String> value) {
        tables.computeIfAbsent(name.path("table").asText(), unused -> new TreeMap<>())
                .put(name.path("key").asText(), new Row(version, value));
    }

    private synchronized ObjectNode read(Map<String, String> parameters) {
        ObjectNode page = document();
        ArrayNode rows = page.putArray("rows");
        String table = parameters.get("table");
        String from = parameters.getOrDefault("from", "");
        tables.getOrDefault(table, new TreeMap<>()).tailMap(from).forEach((key, row) -> {
            if (row.value().isPresent()) {
                add(rows, table, key, row);
            }
        });
        return page.put("has_more", false);
    }

    private static void add(ArrayNode rows, String table, String key, Row row) {
        ObjectNode added = rows.addObject()
                .put("table", table)
                .put("part", "")
                .put("key", key)
                .put("ver", row.version());
        row.value().ifPresentOrElse(value -> added.put("value", value), () -> added.put("tombstone", true));
    }

    private synchronized ObjectNode feed(Map<String, String> parameters) throws InterruptedException {
        String table = parameters.get("table");
        long after = Long.parseLong(parameters.get("after"));
        long endAt = System.nanoTime() + Long.parseLong(parameters.get("wait_ms")) * 1_000_000;
        while (true) {
            List<Map.Entry<String, Row>> changed = new ArrayList<>(tables.getOrDefault(table, new TreeMap<>()).entrySet());
            changed.removeIf(entry -> entry.getValue().version() <= after);
            long left = (endAt - System.nanoTime()) / 1_000_000;
            if (!changed.isEmpty() || left <= 0) {
                changed.sort(Comparator.comparingLong(entry -> entry.getValue().version()));
                ObjectNode page = document();
                ArrayNode rows = page.putArray("rows");
                changed.forEach(entry -> add(rows, table, entry.getKey(), entry.getValue()));
                return page;
            }
            wait(left);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
