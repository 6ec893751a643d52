import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PushbackInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A model worker that answers with streams: the first event comes when the prompt has been read, the others at an even pace. It drops a
 * request whose connection is closed.
 *
 * <p>It may be faulty for a while: of some of its answers it then sends a second copy late, where the next answer on that connection is
 * expected.
 */
final class StreamWorker {

    /** Observes the work on requests. */
    interface Observer {

        void onBegun(String worker, String attempt);

        void onEnded(String worker, String attempt);
    }

    private static final int BACKLOG = 512;
    private static final int SLOTS = 64;
    private static final int EVENTS = 12;
    private static final int EVENT_MILLIS = 50;
    private static final int POLL_MILLIS = 5;
    private static final String REPORT =
            """
            {"stage":"both","models":[{"name":"m0","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,
             "running":0,"kv_used":0,"kv_total":130878,"handles":0,"coming":[]}
            """;

    private final String id;
    private final int promptMillis;
    private final ServerSocket socket;
    private final Recorder record;
    private final Observer observer;
    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger extras = new AtomicInteger();
    private final long born = System.currentTimeMillis();
    private volatile int extraEvery;

    StreamWorker(String id, InetAddress address, int promptMillis, Observer observer, Recorder record)
            throws IOException {
        this.id = id;
        this.promptMillis = promptMillis;
        this.observer = observer;
        this.record = record;
        this.socket = new ServerSocket(0, BACKLOG, address);
        Threads.start(id, this::accept);
    }

    void setExtraEvery(int newExtraEvery) {
        extraEvery = newExtraEvery;
    }

    int answers() {
        return answers.get();
    }

    int extras() {
        return extras.get();
    }

    String id() {
        return id;
    }

    String row(String zone, String service) {
        InetSocketAddress address = (InetSocketAddress) socket.getLocalSocketAddress();
        return """
                {"service": "%s", "address": "%s:%d", "zone": "%s", "version": "v1", "slots": %d, "state": "ready",
                 "cold_remaining_ms": 0, "sequence": 0, "born": %d, "models": [{"name": "m0", "version": 1, "adapters": []}]}
                """
                .formatted(service, address.getAddress().getHostAddress(), address.getPort(), zone, SLOTS, born);
    }

    private void accept() throws IOException {
        while (true) {
            Socket connection = socket.accept();
            connection.setTcpNoDelay(true);
            Threads.start(id + "-connection", () -> serve(connection));
        }
    }

    private void serve(Socket connection) throws IOException, InterruptedException {
        Optional<byte[]> lateCopy = Optional.empty();
        try (connection) {
            OutputStream out = connection.getOutputStream();
            PushbackInputStream in = new PushbackInputStream(connection.getInputStream());
            for (HttpMessages.Message request = HttpMessages.read(in);
                    request != null;
                    request = HttpMessages.read(in)) {
                if (request.word(1).startsWith("/-/")) {
                    String body = request.word(1).startsWith("/-/report") ? REPORT : "{}";
                    out.write(HttpMessages.response(200, "Content-Type: application/json\r\n", body));
                    out.flush();
                    continue;
                }
                String attempt = request.header("X-Attempt-Id");
                if (lateCopy.isPresent()) {
                    record.write(id + " sends an extra answer where that to " + attempt + " is expected");
                    out.write(lateCopy.get());
                    out.flush();
                    extras.incrementAndGet();
                }
                byte[] answer = stream(connection, in, request, out);
                int every = extraEvery;
                boolean repeated = answers.incrementAndGet() % Math.max(1, every) == 0 && every > 0;
                lateCopy = repeated ? Optional.of(answer) : Optional.empty();
            }
        }
    }

    private byte[] stream(Socket connection, PushbackInputStream in, HttpMessages.Message request, OutputStream out)
            throws IOException, InterruptedException {
        String attempt = request.header("X-Attempt-Id");
        String common = "X-Attempt-Id: " + attempt + "\r\nX-Instance-Id: " + id + "\r\nKeep-Alive: timeout=30\r\n";
        if (!request.header("X-Expect-Instance").equals(id)) {
            byte[] answer = HttpMessages.response(421, common + "X-Not-Executed: 1\r\n", "");
            out.write(answer);
            return answer;
        }
        ByteArrayOutputStream sent = new ByteArrayOutputStream();
        String last = request.header("Last-Event-Id");
        int first = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
        observer.onBegun(id, attempt);
        try {
            waitUnlessClosed(connection, in, promptMillis);
            write(out, sent, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + common + "X-Server-Seal: seal-" + attempt
                    + "\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int event = first; event <= EVENTS; event++) {
                String text = "id: " + event + "\ndata: " + attempt + "\n\n";
                write(out, sent, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
                waitUnlessClosed(connection, in, EVENT_MILLIS);
            }
            write(out, sent, "0\r\n\r\n");
            return sent.toByteArray();
        } finally {
            observer.onEnded(id, attempt);
        }
    }

    private static void write(OutputStream out, ByteArrayOutputStream sent, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        out.write(bytes);
        out.flush();
        sent.writeBytes(bytes);
    }

    /** Works for a time; fails at once if the connection is closed. A request that arrives meanwhile waits unread. */
    private static void waitUnlessClosed(Socket connection, PushbackInputStream in, int millis)
            throws IOException, InterruptedException {
        long until = System.nanoTime() + millis * 1_000_000L;
        connection.setSoTimeout(POLL_MILLIS);
        while (System.nanoTime() < until) {
            if (in.available() > 0) {
                Thread.sleep(POLL_MILLIS);
                continue;
            }
            try {
                int next = in.read();
                if (next < 0) {
                    throw new IOException("closed");
                }
                in.unread(next);
            } catch (SocketTimeoutException open) {
                // The connection is open, and nothing has arrived.
            }
        }
        connection.setSoTimeout(0);
    }
}
