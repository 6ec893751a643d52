import java.io.IOException;
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
 * One of three model workers sends extra answers late.
 *
 * <p>Checks TWICE of the model workers: no two workers may work on a request 400 ms after it has begun at the second one.
 */
public final class LateExtraStream implements StreamWorker.Observer {

    private static final int CALLERS = 40;
    private static final int PROMPT_MILLIS = 700;
    private static final long DEADLINE_MILLIS = 15_000;
    private static final long CALM_MILLIS = 3_000;
    private static final long FAULT_MILLIS = 5_000;
    private static final long PAUSE_MILLIS = 1_000;
    private static final int WINDOWS = 8;
    private static final long OVERLAP_MILLIS = 400;

    /** The faulty worker repeats one answer of 34, which is below 0.03 of them. */
    private static final int EXTRA_EVERY = 34;

    private static final String SERVICE = "drafting-models";
    private static final String[] ZONES = {"bkk-a", "bkk-b", "bkk-c"};

    private static final String CONFIGURATION =
            """
            {"version": 3,
             "routes": [{"name": "draft", "host": "permits.example", "prefix": "/draft/", "route_type": "streaming",
                         "timeout_ms": 15000, "target_latency_ms": 800, "gap_aim_ms": 300, "priority": 1,
                         "service": "drafting-models", "max_attempts": 2, "resumable": true, "session_affinity": true}],
             "services": [{"name": "drafting-models", "max_connections": 370, "health_path": "/healthz",
                           "engine": {"slots": 64, "kv_cache_tokens": 130878, "adapter_slots": 21, "weights_mb": 76000,
                                      "models": [{"name": "m0", "weights_mb": 72700, "load_time_s": 5.7, "adapters": 3000,
                                                  "adapter_mb": 66}]}}],
             "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 10000,
                        "idle_timeout_ms": 60000},
             "tenants": [{"name": "cafe", "api_keys": ["k1"]}]}
            """;

    private final Recorder record;
    private final ConcurrentMap<String, ConcurrentMap<String, Long>> working = new ConcurrentHashMap<>();
    private final AtomicInteger overlaps = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private volatile boolean ended;

    private LateExtraStream(Recorder record) {
        this.record = record;
    }

    /** Arguments: the repository, the file of the record, and a folder for temporary files. */
    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result;
        try (Recorder record = new Recorder(Path.of(arguments[1]))) {
            result = new LateExtraStream(record)
                    .run(Path.of(arguments[0]).toAbsolutePath().normalize(), Path.of(arguments[2]), trouble);
        } catch (IOException failed) {
            System.err.println("the case could not run: " + failed);
            result = 2;
        }
        System.exit(result);
    }

    @Override
    public void onBegun(String worker, String attempt) {
        record.write(worker + " begins " + attempt);
        ConcurrentMap<String, Long> workers = working.computeIfAbsent(attempt, unused -> new ConcurrentHashMap<>());
        List<String> others = new ArrayList<>(workers.keySet());
        workers.put(worker, System.nanoTime());
        if (!others.isEmpty()) {
            Threads.start("overlap", () -> {
                Thread.sleep(OVERLAP_MILLIS);
                others.retainAll(workers.keySet());
                if (!others.isEmpty() && workers.containsKey(worker)) {
                    overlaps.incrementAndGet();
                    record.write("TWICE: " + others + " still works on " + attempt + " " + OVERLAP_MILLIS + " ms after " + worker
                            + " has begun it, which goes on too");
                }
            });
        }
    }

    @Override
    public void onEnded(String worker, String attempt) {
        record.write(worker + " ends " + attempt);
        working.getOrDefault(attempt, new ConcurrentHashMap<>()).remove(worker);
    }

    private int run(Path repository, Path folder, boolean trouble) throws IOException, InterruptedException {
        InetAddress ip = InetAddress.getByName(
                "127." + ThreadLocalRandom.current().nextInt(10, 250) + "."
                        + ThreadLocalRandom.current().nextInt(1, 250) + ".7");
        StoreStandIn store = new StoreStandIn(ip);
        store.put("op", "config", CONFIGURATION);
        List<StreamWorker> workers = new ArrayList<>();
        for (int index = 0; index < ZONES.length; index++) {
            workers.add(new StreamWorker("i-worker" + (index + 1), ip, PROMPT_MILLIS, this, record));
        }
        Threads.start("heartbeats", () -> beat(store, workers));
        try (EntryProgram entry = EntryProgram.start(repository, folder, "edge-bkk-a-1", ip, store.address())) {
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
                int answersBefore = workers.get(0).answers();
                int extrasBefore = workers.get(0).extras();
                workers.get(0).setExtraEvery(trouble ? EXTRA_EVERY : 0);
                Thread.sleep(FAULT_MILLIS);
                workers.get(0).setExtraEvery(0);
                record.write("in " + FAULT_MILLIS + " ms the first worker has sent " + (workers.get(0).extras() - extrasBefore)
                        + " extra answers beside " + (workers.get(0).answers() - answersBefore));
                Thread.sleep(PAUSE_MILLIS);
            }
            ended = true;
            Thread.sleep(CALM_MILLIS);
            String summary = answered + " streams answered; " + overlaps + " requests at two workers for longer than "
                    + OVERLAP_MILLIS + " ms; " + workers.get(0).extras() + " extra answers";
            record.write(summary);
            System.out.println(summary);
            return overlaps.get() > 0 || !entry.isAlive() ? 1 : 0;
        }
    }

    private static void beat(StoreStandIn store, List<StreamWorker> workers) throws InterruptedException {
        while (true) {
            for (int index = 0; index < workers.size(); index++) {
                store.put("servers", workers.get(index).id(), workers.get(index).row(ZONES[index], SERVICE));
            }
            Thread.sleep(1_200);
        }
    }

    private void call(InetSocketAddress front, int caller) throws InterruptedException {
        int count = 0;
        while (!ended) {
            try (Socket socket = new Socket(front.getAddress(), front.getPort())) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout((int) DEADLINE_MILLIS);
                while (!ended) {
                    String attempt = String.format("%04x%06x", caller, ++count);
                    record.write("caller " + caller + " sends " + attempt);
                    socket.getOutputStream().write(request(attempt, caller));
                    HttpMessages.Message answer = HttpMessages.read(socket.getInputStream());
                    if (answer == null) {
                        break;
                    }
                    answered.incrementAndGet();
                    record.write("caller " + caller + " gets " + answer.status() + " to " + attempt);
                    Thread.sleep(answer.status() == 200 ? ThreadLocalRandom.current().nextLong(100) : 700);
                    if (answer.header("Connection").equalsIgnoreCase("close")) {
                        break;
                    }
                }
            } catch (IOException broken) {
                record.write("caller " + caller + ": " + broken.getMessage());
                Thread.sleep(200);
            }
        }
    }

    private static byte[] request(String attempt, int caller) {
        return ("POST /draft/x HTTP/1.1\r\nHost: permits.example\r\nX-Attempt-Id: " + attempt + "\r\nX-Deadline-Ms: "
                        + DEADLINE_MILLIS + "\r\nAuthorization: Bearer k1\r\nX-Model: m0\r\nX-Token-Count: 600,40\r\n"
                        + "X-Prompt-Prefix: 5c1e07a2:200," + attempt + ":400\r\nContent-Length: 5\r\n\r\ndraft")
                .getBytes(StandardCharsets.US_ASCII);
    }
}
