import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * The one of three entries that gave the last order freezes, and when it wakes the store turns it away for a while.
 *
 * <p>Checks ONE: an order of one holder may not follow one of another holder within the lease time, nor with a lower fencing token.
 */
public final class TwoOwners implements AdapterWorker.Observer {

    private static final int WORKERS = 4;
    private static final int CALLERS_PER_ENTRY = 6;
    private static final int ADAPTERS = 200;
    private static final long CALM_MILLIS = 8_000;
    private static final long FREEZE_MILLIS = 6_600;
    private static final long REFUSAL_MILLIS = 9_000;
    private static final long AFTERWARDS_MILLIS = 12_000;
    private static final long OVERLAP_MILLIS = 100;
    private static final int ROUNDS = 2;
    private static final long LEASE_MILLIS = 3_000;

    private static final String SERVICE = "shop-llm";
    private static final String[] ZONES = {"guj-west-a", "guj-west-b", "guj-west-c"};

    private static final String CONFIGURATION =
            """
            {"version": 3,
             "routes": [{"name": "draft", "host": "jobs.example", "prefix": "/draft/", "route_type": "streaming",
                         "timeout_ms": 10000, "target_latency_ms": 800, "gap_aim_ms": 300, "priority": 1,
                         "service": "shop-llm", "max_attempts": 2, "resumable": true, "session_affinity": true}],
             "services": [{"name": "shop-llm", "max_connections": 300, "health_path": "/healthz",
                           "engine": {"slots": 64, "kv_cache_tokens": 130878, "adapter_slots": 8, "weights_mb": 45000,
                                      "models": [{"name": "m0", "weights_mb": 42700, "load_time_s": 2.5, "adapters": 3000,
                                                  "adapter_mb": 66}]}}],
             "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 10000,
                        "idle_timeout_ms": 60000},
             "tenants": [{"name": "shop", "api_keys": ["k1"]}]}
            """;

    private final Recorder record;
    private final Map<String, Order> lastOrders = new HashMap<>();
    private int nextCaller;
    private int violations;
    private int orders;
    private volatile boolean ended;

    /** The last accepted order at a worker. */
    private record Order(String holder, long fence, long at) {}

    private TwoOwners(Recorder record) {
        this.record = record;
    }

    /** Arguments: the repository, the file of the record, and a folder for temporary files. */
    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result;
        try (Recorder record = new Recorder(Path.of(arguments[1]))) {
            result = new TwoOwners(record)
                    .run(Path.of(arguments[0]).toAbsolutePath().normalize(), Path.of(arguments[2]), trouble);
        } catch (IOException failed) {
            System.err.println("the case could not run: " + failed);
            result = 2;
        }
        System.exit(result);
    }

    @Override
    public synchronized void onOrder(String worker, String holder, long fence, int status, String order) {
        record.write(worker + " gets an order of " + holder + " with token " + fence + ": " + order + ", answers " + status);
        if (status != 202 && status != 200) {
            return;
        }
        orders++;
        long now = System.nanoTime();
        Order last = lastOrders.get(worker);
        if (last != null && !last.holder().equals(holder)) {
            long millis = (now - last.at()) / 1_000_000;
            boolean turn = millis < LEASE_MILLIS;
            boolean lower = fence <= last.fence();
            if (turn || lower) {
                violations++;
                record.write("ONE: " + worker + " carries out an order of " + holder + " with token " + fence + ", "
                        + millis + " ms after one of " + last.holder() + " with token " + last.fence());
            }
        }
        lastOrders.put(worker, new Order(holder, fence, now));
    }

    private int run(Path repository, Path folder, boolean trouble) throws IOException, InterruptedException {
        String net = "127." + ThreadLocalRandom.current().nextInt(10, 250) + "."
                + ThreadLocalRandom.current().nextInt(1, 250) + ".";
        InetAddress workerIp = InetAddress.getByName(net + "6");
        StoreStandIn store = new StoreStandIn(workerIp);
        store.put("op", "config", CONFIGURATION);
        List<AdapterWorker> workers = new ArrayList<>();
        for (int index = 0; index < WORKERS; index++) {
            workers.add(new AdapterWorker("i-worker" + (index + 1), workerIp, this));
        }
        Threads.start("heartbeats", () -> beat(store, workers));
        Map<String, EntryProgram> entries = new TreeMap<>();
        Map<String, SilencingRelay> relays = new TreeMap<>();
        try {
            for (int index = 0; index < ZONES.length; index++) {
                String node = "edge-" + ZONES[index] + "-1";
                InetAddress ip = InetAddress.getByName(net + (7 + index));
                relays.put(node, new SilencingRelay(ip, store.address()));
                entries.put(
                        node,
                        EntryProgram.start(
                                repository, folder, node, ZONES[index], ip, relays.get(node).address()));
                record.write("process " + entries.get(node).processId() + " of " + node + " started");
            }
            return run(entries, relays, trouble);
        } finally {
            for (EntryProgram entry : entries.values()) {
                entry.close();
            }
        }
    }

    private int run(Map<String, EntryProgram> entries, Map<String, SilencingRelay> relays, boolean trouble)
            throws IOException, InterruptedException {
        for (EntryProgram entry : entries.values()) {
            if (!entry.awaitReady()) {
                record.write("an entry is not ready");
                return 2;
            }
            for (int caller = 0; caller < CALLERS_PER_ENTRY; caller++) {
                int number = nextCaller++;
                Threads.start("caller", () -> call(entry.front(), number));
            }
        }
        for (int round = 0; round < ROUNDS; round++) {
            Thread.sleep(CALM_MILLIS);
            if (trouble) {
                String holder = lastHolder();
                disturb(holder, entries.get(holder), relays.get(holder));
            }
            Thread.sleep(AFTERWARDS_MILLIS);
        }
        ended = true;
        return verdict(entries.values().stream().allMatch(EntryProgram::isAlive));
    }

    private synchronized int verdict(boolean entriesRun) {
        String summary = orders + " orders carried out, " + violations + " of them break ONE";
        record.write(summary);
        System.out.println(summary);
        return violations > 0 || !entriesRun ? 1 : 0;
    }

    private synchronized String lastHolder() {
        return lastOrders.values().stream()
                .max(Comparator.comparingLong(Order::at))
                .map(Order::holder)
                .orElse("");
    }

    private void disturb(String node, EntryProgram entry, SilencingRelay relay)
            throws IOException, InterruptedException {
        record.write(node + " gave the last order and freezes");
        entry.signal("STOP");
        Thread.sleep(FREEZE_MILLIS - OVERLAP_MILLIS);
        relay.setSilent(true);
        record.write("the store does not answer " + node);
        Thread.sleep(OVERLAP_MILLIS);
        entry.signal("CONT");
        record.write(node + " wakes");
        Thread.sleep(REFUSAL_MILLIS - OVERLAP_MILLIS);
        relay.setSilent(false);
        record.write("the store answers " + node + " again");
    }

    private void beat(StoreStandIn store, List<AdapterWorker> workers) throws InterruptedException {
        while (true) {
            for (AdapterWorker worker : workers) {
                store.put("servers", worker.id(), worker.row(ZONES[0], SERVICE));
            }
            Thread.sleep(1_200);
        }
    }

    private void call(InetSocketAddress front, int caller) throws InterruptedException {
        int count = 0;
        while (!ended) {
            try (Socket socket = new Socket(front.getAddress(), front.getPort())) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(10_500);
                while (!ended) {
                    String attempt = String.format("%04x%06x", caller, ++count);
                    socket.getOutputStream().write(request(attempt));
                    HttpMessages.Message answer = HttpMessages.read(socket.getInputStream());
                    if (answer == null) {
                        break;
                    }
                    record.write("caller " + caller + " gets " + answer.status() + " to " + attempt);
                    Thread.sleep(ThreadLocalRandom.current().nextLong(200));
                    if (answer.header("Connection").equalsIgnoreCase("close")) {
                        break;
                    }
                }
            } catch (IOException broken) {
                Thread.sleep(200);
            }
        }
    }

    private static byte[] request(String attempt) {
        int adapter = 1 + ThreadLocalRandom.current().nextInt(ADAPTERS);
        return ("POST /draft/x HTTP/1.1\r\nHost: jobs.example\r\nX-Attempt-Id: " + attempt + "\r\nX-Deadline-Ms: 10000\r\n"
                        + "Authorization: Bearer k1\r\nX-Model: m0/a" + adapter + "\r\nX-Token-Count: 600,40\r\n"
                        + "X-Prompt-Prefix: 5c1e07a2:200," + attempt + ":400\r\nContent-Length: 5\r\n\r\ndraft")
                .getBytes(StandardCharsets.US_ASCII);
    }
}
