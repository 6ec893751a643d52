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
import java.util.LinkedHashMap;
import java.util.Map;

/** A model worker that loads and unloads adapters as it is ordered to, does not check fencing tokens, and tells an observer of each order. */
final class AdapterWorker {

    /** Observes the orders that reach the worker. */
    interface Observer {

        void onOrder(String worker, String holder, long fence, int status, String order);
    }

    static final int ADAPTER_SLOTS = 8;

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int SLOTS = 64;
    private static final int LOAD_MILLIS = 250;

    private final String id;
    private final ServerSocket socket;
    private final Observer observer;
    private final Map<String, Long> readyAt = new LinkedHashMap<>();
    private final long born = System.currentTimeMillis();
    private long sequence;

    AdapterWorker(String id, InetAddress address, Observer observer) throws IOException {
        this.id = id;
        this.observer = observer;
        this.socket = new ServerSocket(0, 512, address);
        Threads.start(id, this::accept);
    }

    String id() {
        return id;
    }

    synchronized String row(String zone, String service) {
        InetSocketAddress address = (InetSocketAddress) socket.getLocalSocketAddress();
        ObjectNode row = MAPPER.createObjectNode()
                .put("service", service)
                .put("address", address.getAddress().getHostAddress() + ":" + address.getPort())
                .put("zone", zone)
                .put("version", "v1")
                .put("slots", SLOTS)
                .put("state", "ready")
                .put("cold_remaining_ms", 0)
                .put("sequence", sequence)
                .put("born", born);
        row.set("models", models());
        return row.toString();
    }

    private ArrayNode models() {
        long now = System.nanoTime();
        ArrayNode models = MAPPER.createArrayNode();
        ArrayNode adapters = models.addObject().put("name", "m0").put("version", 1).putArray("adapters");
        readyAt.forEach((adapter, at) -> {
            if (at <= now) {
                adapters.add(adapter + "@1");
            }
        });
        return models;
    }

    private void accept() throws IOException {
        while (true) {
            Socket connection = socket.accept();
            connection.setTcpNoDelay(true);
            Threads.start(id + "-connection", () -> serve(connection));
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
        if (!call.header("X-Expect-Instance").equals(id)) {
            return HttpMessages.response(421, "X-Not-Executed: 1\r\n", "");
        }
        if (call.word(1).startsWith("/-/report")) {
            return HttpMessages.response(200, "Content-Type: application/json\r\n", report());
        }
        if (call.word(1).startsWith("/-/order")) {
            JsonNode order = MAPPER.readTree(call.body());
            int status = execute(order);
            observer.onOrder(
                    id,
                    order.path("holder").asText(),
                    order.path("fencing_token").asLong(),
                    status,
                    order.path("operation").asText() + " " + order.path("adapter").asText("") + " expecting "
                            + order.path("expected_rev").asText("nothing"));
            return HttpMessages.response(status, "Content-Type: application/json\r\n", "{}");
        }
        String model = call.header("X-Model");
        String common = "X-Attempt-Id: " + call.header("X-Attempt-Id") + "\r\nX-Instance-Id: " + id + "\r\n";
        if (!isReady(model.substring(model.indexOf('/') + 1))) {
            return HttpMessages.response(421, common + "X-Not-Executed: 1\r\n", "");
        }
        Thread.sleep(30);
        return HttpMessages.response(
                200,
                "Content-Type: text/event-stream\r\n" + common + "X-Server-Seal: seal\r\n",
                "id: 1\ndata: " + call.header("X-Attempt-Id") + "\n\n");
    }

    private synchronized boolean isReady(String adapter) {
        Long at = readyAt.get(adapter);
        return at != null && at <= System.nanoTime();
    }

    private synchronized String report() {
        long now = System.nanoTime();
        ObjectNode report = MAPPER.createObjectNode().put("stage", "both").put("busy", false).put("sequence", sequence);
        report.set("models", models());
        ArrayNode coming = report.put("queued", 0).put("running", 0).put("kv_used", 0).put("kv_total", 130_878)
                .put("handles", 0).putArray("coming");
        readyAt.forEach((adapter, at) -> {
            if (at > now) {
                coming.add("m0/" + adapter + "@1");
            }
        });
        return report.toString();
    }

    /** Executes an order as the protocol says; an order beyond the slots would crash a worker, and is answered 500 here. */
    private synchronized int execute(JsonNode order) {
        String adapter = order.path("adapter").asText("");
        boolean load = order.path("operation").asText().equals("model_load");
        Long at = readyAt.get(adapter);
        if (adapter.isEmpty() || (load ? at != null && at <= System.nanoTime() : at == null)) {
            return 200;
        }
        if (load && at != null) {
            return 202;
        }
        if (order.has("expected_rev") && order.path("expected_rev").asLong() != sequence) {
            return 409;
        }
        if (!load) {
            sequence++;
            readyAt.remove(adapter);
            return 200;
        }
        if (readyAt.size() >= ADAPTER_SLOTS) {
            return 500;
        }
        sequence++;
        readyAt.put(adapter, System.nanoTime() + LOAD_MILLIS * 1_000_000L);
        return 202;
    }
}
