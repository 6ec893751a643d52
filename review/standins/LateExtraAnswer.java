import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of three workers of a service at a time sends extra answers late, while callers ask for somewhat more than the service can take.
 *
 * <p>Checks TWICE and REFUSED for the requests, all of which go to a route that isn't idempotent.
 */
public final class LateExtraAnswer {

    private static final int CALLERS = 180;
    private static final long WORK_MILLIS = 21;
    private static final long DEADLINE_MILLIS = 1_500;
    private static final long THINK_MILLIS = 15;
    private static final long CALM_MILLIS = 3_000;
    private static final long FAULT_MILLIS = 5_000;
    private static final long PAUSE_MILLIS = 1_000;
    private static final int WINDOWS = 9;

    /** The faulty worker repeats one answer of 34, which is below 0.03 of them. */
    private static final int EXTRA_EVERY = 34;

    private static final String SERVICE = "jobcard-app";
    private static final String[] ZONES = {"guj-west-a", "guj-west-b", "guj-west-c"};

    private static final String CONFIGURATION =
            """
            {"version": 3,
             "routes": [{"name": "jobcard-book", "host": "jobs.example", "prefix": "/book/", "route_type": "non_idempotent",
                         "timeout_ms": 800, "target_latency_ms": 100, "priority": 2, "service": "jobcard-app",
                         "max_attempts": 1}],
             "services": [{"name": "jobcard-app", "max_connections": 100, "health_path": "/healthz"}],
             "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 10000,
                        "idle_timeout_ms": 60000},
             "tenants": [{"name": "shop", "api_keys": ["k1"]}]}
            """;

    private final Recorder record;
    private final ConcurrentMap<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final ConcurrentMap<String, Integer> statuses = new ConcurrentHashMap<>();
    private volatile boolean ended;

    private LateExtraAnswer(Recorder record) {
        this.record = record;
    }

    /** Arguments: the repository, the file of the record, and a folder for temporary files. */
    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result;
        try (Recorder record = new Recorder(Path.of(arguments[1]))) {
            result = new LateExtraAnswer(record).run(Path.of(arguments[0]).toAbsolutePath().normalize(), Path.of(arguments[2]), trouble);
        } catch (IOException failed) {
            System.err.println("the case could not run: " + failed);
            result = 2;
        }
        System.exit(result);
    }

    private int run(Path repository, Path folder, boolean trouble) throws IOException, InterruptedException {
        InetAddress ip = InetAddress.getByName(
                "127." + ThreadLocalRandom.current().nextInt(10, 250) + "."
                        + ThreadLocalRandom.current().nextInt(1, 250) + ".7");
        StoreStandIn store = new StoreStandIn(ip);
        store.put("op", "config", CONFIGURATION);
        List<LedgerWorker> workers = new ArrayList<>();
        for (int index = 0; index < ZONES.length; index++) {
            workers.add(new LedgerWorker("i-worker" + (index + 1), ip, WORK_MILLIS, runs, record));
        }
        Threads.start("heartbeats", () -> LedgerWorker.beat(store, workers, ZONES, SERVICE));
        try (EntryProgram entry = EntryProgram.start(repository, folder, "edge-guj-west-a-1", ip, store.address())) {
            record.write("process " + entry.processId() + " of an entry started");
            if (!entry.awaitReady()) {
                record.write("the entry is not ready");
                return 2;
            }
            for (int caller = 0; caller < CALLERS; caller++) {
                int number = caller;
                Threads.start("caller", () -> call(entry.front(), number));
            }
            Thread.sleep(CALM_MILLIS);
            for (int window = 0; window < WINDOWS; window++) {
                garbleOnce(workers.get(window % workers.size()), trouble);
                Thread.sleep(PAUSE_MILLIS);
            }
            ended = true;
            Thread.sleep(DEADLINE_MILLIS + 1_000);
            if (!entry.isAlive()) {
                record.write("the entry has ended by itself");
                return 1;
            }
            return verdict();
        }
    }

    private void garbleOnce(LedgerWorker worker, boolean trouble) throws InterruptedException {
        int answersBefore = worker.answers();
        int extrasBefore = worker.extras();
        worker.setExtraEvery(trouble ? EXTRA_EVERY : 0);
        Thread.sleep(FAULT_MILLIS);
        worker.setExtraEvery(0);
        record.write("in " + FAULT_MILLIS + " ms the faulty worker has sent " + (worker.extras() - extrasBefore)
                + " extra answers beside " + (worker.answers() - answersBefore));
    }

    /** Sends request after request on a kept connection, and waits as told after a refusal. */
    private void call(InetSocketAddress front, int caller) throws InterruptedException {
        int count = 0;
        while (!ended) {
            try (Socket socket = new Socket(front.getAddress(), front.getPort())) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout((int) DEADLINE_MILLIS + 500);
                InputStream in = socket.getInputStream();
                boolean kept = true;
                while (!ended && kept) {
                    String attempt = String.format("%04x%06x", caller, ++count);
                    record.write("caller " + caller + " sends " + attempt);
                    socket.getOutputStream().write(request(attempt));
                    HttpMessages.Message answer = HttpMessages.read(in);
                    if (answer == null) {
                        record.write("caller " + caller + " gets no answer to " + attempt);
                        break;
                    }
                    statuses.put(attempt, answer.status());
                    record.write("caller " + caller + " gets " + answer.status() + " to " + attempt);
                    kept = !answer.header("Connection").equalsIgnoreCase("close");
                    Thread.sleep(ThreadLocalRandom.current().nextLong(2 * THINK_MILLIS + 1));
                    if (answer.status() != 200) {
                        String after = answer.header("Retry-After");
                        Thread.sleep(after.isEmpty() ? 200 : (long) (Double.parseDouble(after) * 1_000));
                    }
                }
            } catch (IOException broken) {
                record.write("caller " + caller + ": " + broken.getMessage());
                Thread.sleep(200);
            }
        }
    }

    private static byte[] request(String attempt) {
        return ("POST /book/x HTTP/1.1\r\nHost: jobs.example\r\nX-Attempt-Id: " + attempt + "\r\nX-Deadline-Ms: "
                        + DEADLINE_MILLIS + "\r\nAuthorization: Bearer k1\r\nContent-Length: 4\r\n\r\nbook")
                .getBytes(StandardCharsets.US_ASCII);
    }

    private int verdict() {
        int twice = 0;
        int refused = 0;
        for (String attempt : runs.keySet()) {
            int count = runs.get(attempt).get();
            if (count > 1) {
                twice++;
                record.write("TWICE: " + attempt + " has run " + count + " times");
            }
            int status = statuses.getOrDefault(attempt, 0);
            if (status == 503 || status == 429 || status == 408 || status == 421) {
                refused++;
                record.write("REFUSED: " + attempt + " was answered " + status + " and has run");
            }
        }
        String summary = runs.size() + " requests have run, " + twice + " of them more than once; " + refused
                + " were answered as not run and have run; " + statuses.size() + " answers";
        record.write(summary);
        System.out.println(summary);
        return twice + refused > 0 ? 1 : 0;
    }
}
