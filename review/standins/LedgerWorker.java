import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A worker of an application service: runs a number of requests at once, queues a few more, and rejects the others with a 503 that says so.
 *
 * <p>It may be faulty for a while: of some of its answers it then sends a second copy late, where the next answer on that connection is
 * expected.
 */
final class LedgerWorker {

    private static final int BACKLOG = 512;
    private static final int SLOTS = 6;
    private static final int QUEUE = 24;
    private static final int KEEP_ALIVE_SECONDS = 30;
    private static final long HEARTBEAT_MILLIS = 1_200;

    private final String id;
    private final ServerSocket socket;
    private final Recorder record;
    private final ConcurrentMap<String, AtomicInteger> runs;
    private final long workMillis;
    private final Semaphore slots = new Semaphore(SLOTS, true);
    private final AtomicInteger held = new AtomicInteger();
    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger extras = new AtomicInteger();
    private volatile int extraEvery;
    private final long born = System.currentTimeMillis();

    /** Starts a worker that counts its runs, by the id of the request, in a map that all workers share. */
    LedgerWorker(
            String id,
            InetAddress address,
            long workMillis,
            ConcurrentMap<String, AtomicInteger> runs,
            Recorder record)
            throws IOException {
        this.id = id;
        this.workMillis = workMillis;
        this.runs = runs;
        this.record = record;
        this.socket = new ServerSocket(0, BACKLOG, address);
        Threads.start(id, this::accept);
    }

    /** Makes the worker faulty: it sends a second copy of one of so many answers; 0 makes it sound again. */
    void setExtraEvery(int newExtraEvery) {
        extraEvery = newExtraEvery;
    }

    int answers() {
        return answers.get();
    }

    int extras() {
        return extras.get();
    }

    String row(String zone, String service) {
        InetSocketAddress address = (InetSocketAddress) socket.getLocalSocketAddress();
        return """
                {"service": "%s", "address": "%s:%d", "zone": "%s", "version": "v1", "slots": %d, "state": "ready",
                 "cold_remaining_ms": 0, "sequence": 0, "born": %d, "models": []}
                """
                .formatted(service, address.getAddress().getHostAddress(), address.getPort(), zone, SLOTS, born);
    }

    /** Writes the rows of workers to the store, again and again. */
    static void beat(StoreStandIn store, List<LedgerWorker> workers, String[] zones, String service)
            throws InterruptedException {
        while (true) {
            for (int index = 0; index < workers.size(); index++) {
                LedgerWorker worker = workers.get(index);
                store.put("servers", worker.id, worker.row(zones[index], service));
            }
            Thread.sleep(HEARTBEAT_MILLIS);
        }
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
            for (HttpMessages.Message request = HttpMessages.read(connection.getInputStream());
                    request != null;
                    request = HttpMessages.read(connection.getInputStream())) {
                if (lateCopy.isPresent()) {
                    record.write(id + " sends an extra answer where that to " + request.header("X-Attempt-Id")
                            + " is expected: " + firstLines(lateCopy.get()));
                    out.write(lateCopy.get());
                    out.flush();
                    extras.incrementAndGet();
                }
                byte[] answer = answer(request);
                out.write(answer);
                out.flush();
                int every = extraEvery;
                boolean repeated = answers.incrementAndGet() % Math.max(1, every) == 0 && every > 0;
                lateCopy = repeated ? Optional.of(answer) : Optional.empty();
            }
        }
    }

    private static String firstLines(byte[] answer) {
        String text = new String(answer, StandardCharsets.ISO_8859_1);
        return text.substring(0, text.indexOf("\r\n\r\n")).replace("\r\n", " | ");
    }

    private byte[] answer(HttpMessages.Message request) throws InterruptedException {
        String attempt = request.header("X-Attempt-Id");
        String common = "X-Attempt-Id: " + attempt + "\r\nX-Instance-Id: " + id + "\r\nX-Server-Load: "
                + Math.min(SLOTS, held.get()) + "," + Math.max(0, held.get() - SLOTS) + "," + SLOTS
                + "\r\nKeep-Alive: timeout=" + KEEP_ALIVE_SECONDS + "\r\n";
        if (attempt.isEmpty()) {
            return HttpMessages.response(400, common + "X-Not-Executed: 1\r\n", "");
        }
        if (!request.header("X-Expect-Instance").equals(id)) {
            return HttpMessages.response(421, common + "X-Not-Executed: 1\r\n", "");
        }
        if (held.incrementAndGet() > SLOTS + QUEUE) {
            held.decrementAndGet();
            record.write(id + " rejects " + attempt);
            return HttpMessages.response(503, common + "X-Not-Executed: 1\r\n", "");
        }
        slots.acquire();
        try {
            int count = runs.computeIfAbsent(attempt, unused -> new AtomicInteger()).incrementAndGet();
            record.write(id + " runs " + attempt + (count > 1 ? " which has run before" : ""));
            Thread.sleep(workMillis);
            record.write(id + " has run " + attempt);
            return HttpMessages.response(200, common + "X-Server-Seal: seal-" + attempt + "\r\n", "done " + attempt);
        } finally {
            slots.release();
            held.decrementAndGet();
        }
    }
}
