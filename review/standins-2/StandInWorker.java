import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker that registers itself in the store and runs requests by a given behaviour. Safe for use by several threads. */
final class StandInWorker implements AutoCloseable {

    private static final long HEARTBEAT_MILLIS = 1_200;

    private final String id;
    private final String service;
    private final String zone;
    private final String models;
    private final StandInStore store;
    private final Record record;
    private final Behaviour behaviour;
    private final ServerSocket server;
    private final long born = System.currentTimeMillis();
    private final AtomicInteger sequence = new AtomicInteger();
    private final AtomicInteger running = new AtomicInteger();
    private final List<Run> runs = new CopyOnWriteArrayList<>();
    private volatile boolean closed;

    /** A request that began to run. */
    static final class Run {
        final String requestId;
        volatile StandInHttp.Message request;
        final long begunAt = System.nanoTime();
        volatile boolean atWork = true;
        volatile String end = "running";

        Run(String requestId, StandInHttp.Message request) {
            this.requestId = requestId;
            this.request = request;
        }

        /** Keeps the head alone, so that many runs take little memory. */
        void forgetBody() {
            request = new StandInHttp.Message(request.startLine(), request.fields(), new byte[0], request.whole());
        }
    }

    /** Answers a request that has begun to run. */
    interface Behaviour {
        void run(Run run, Answer answer) throws Exception;
    }

    /** Writes the answer of one run. */
    final class Answer {
        private final OutputStream output;
        private final String requestId;

        private Answer(OutputStream output, String requestId) {
            this.output = output;
            this.requestId = requestId;
        }

        void whole(int status, String body) throws IOException {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            output.write(join(
                    head(status, "Content-Type: text/plain\r\nContent-Length: " + bytes.length + "\r\n"), bytes));
            output.flush();
        }

        void beginStream() throws IOException {
            output.write(head(200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
            output.flush();
        }

        void event(long number, String data) throws IOException {
            byte[] event = ("id: " + number + "\ndata: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
            byte[] size = (Integer.toHexString(event.length) + "\r\n").getBytes(StandardCharsets.US_ASCII);
            output.write(join(join(size, event), "\r\n".getBytes(StandardCharsets.US_ASCII)));
            output.flush();
        }

        void endStream() throws IOException {
            output.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            output.flush();
        }

        void raw(byte[] bytes) throws IOException {
            output.write(bytes);
            output.flush();
        }

        byte[] head(int status, String fields) {
            return ("HTTP/1.1 " + status + " X\r\nX-Attempt-Id: " + requestId + "\r\nX-Server-Seal: seal." + id + "."
                            + requestId + "\r\nX-Instance-Id: " + id + "\r\nX-Server-Load: " + running.get()
                            + ",0,48\r\n" + fields + "\r\n")
                    .getBytes(StandardCharsets.US_ASCII);
        }
    }

    private static byte[] join(byte[] first, byte[] second) {
        byte[] joined = new byte[first.length + second.length];
        System.arraycopy(first, 0, joined, 0, first.length);
        System.arraycopy(second, 0, joined, first.length, second.length);
        return joined;
    }

    StandInWorker(
            String id,
            String service,
            String ip,
            String zone,
            String models,
            StandInStore store,
            Record record,
            Behaviour behaviour)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.models = models;
        this.store = store;
        this.record = record;
        this.behaviour = behaviour;
        this.server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 500);
        Threads.start("worker " + id, this::accept);
        Threads.start("heartbeat " + id, this::beat);
    }

    List<Run> runs() {
        return runs;
    }

    private void beat() throws InterruptedException {
        while (!closed) {
            String row = "{\"service\":\"" + service + "\",\"address\":\""
                    + server.getInetAddress().getHostAddress() + ":" + server.getLocalPort() + "\",\"zone\":\"" + zone
                    + "\",\"version\":\"v1\",\"slots\":48,\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":" + born
                    + ",\"stage\":\"both\",\"models\":" + models + ",\"sequence\":" + sequence.get() + "}";
            store.put("servers", id, Optional.of(row));
            Thread.sleep(HEARTBEAT_MILLIS);
        }
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            Threads.start("worker connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            StandInHttp reader = new StandInHttp(socket.getInputStream());
            for (Optional<StandInHttp.Message> next = reader.read(false); next.isPresent(); next = reader.read(false)) {
                handle(next.get(), socket.getOutputStream());
            }
        }
    }

    private void handle(StandInHttp.Message request, OutputStream output) throws Exception {
        String path = request.target();
        Optional<String> expected = request.first("X-Expect-Instance");
        if (expected.isPresent() && !expected.get().equals(id)) {
            plain(output, 421, "X-Not-Executed: 1\r\n" + attemptField(request), "");
        } else if (path.startsWith("/-/report")) {
            plain(
                    output,
                    200,
                    "Content-Type: application/json\r\n",
                    "{\"stage\":\"both\",\"models\":" + models + ",\"busy\":false,\"sequence\":" + sequence.get()
                            + ",\"queued\":0,\"running\":" + running.get()
                            + ",\"kv_used\":0,\"kv_total\":118381,\"handles\":0}");
        } else if (path.startsWith("/-/order")) {
            record.line("order at %s: %s", id, request.text());
            plain(output, 200, "", "");
        } else if (path.startsWith("/healthz")) {
            plain(output, 200, "", "");
        } else {
            run(request, output);
        }
    }

    private static String attemptField(StandInHttp.Message request) {
        return request.first("X-Attempt-Id").map(attempt -> "X-Attempt-Id: " + attempt + "\r\n").orElse("");
    }

    private void plain(OutputStream output, int status, String fields, String body) throws IOException {
        String text = "HTTP/1.1 " + status + " X\r\nX-Instance-Id: " + id + "\r\n" + fields + "Content-Length: "
                + body.length() + "\r\n\r\n" + body;
        output.write(text.getBytes(StandardCharsets.UTF_8));
        output.flush();
    }

    private void run(StandInHttp.Message request, OutputStream output) throws Exception {
        String requestId = request.first("X-Attempt-Id").orElse("");
        Run run = new Run(requestId, request);
        runs.add(run);
        running.incrementAndGet();
        record.line(
                "worker %s runs %s: %s, deadline %s, tenant %s",
                id,
                requestId,
                request.startLine(),
                request.first("X-Deadline-Ms").orElse("none"),
                request.first("X-Tenant").orElse("none"));
        try {
            behaviour.run(run, new Answer(output, requestId));
            run.end = "complete";
        } catch (IOException broken) {
            run.end = "cut off: " + broken.getMessage();
            throw broken;
        } finally {
            run.atWork = false;
            running.decrementAndGet();
            record.line("worker %s ends %s: %s", id, requestId, run.end);
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        server.close();
        store.put("servers", id, Optional.empty());
    }
}
