import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Restarts an entry in a planned way while clients keep using their open connections to it.
 *
 * <p>Workers preempt 3 of 100 runs in the middle of their streams, before the restart as after it. Arguments: the root of the repository,
 * the record, and 1 for trouble or 0 for none.
 */
final class DrainCutStreams {

    private static final int EXIT_HELD = 0;
    private static final int EXIT_BROKEN = 1;
    private static final int EXIT_NOT_RUN = 2;
    private static final int CLIENTS = 66;
    private static final int CALM_ROUNDS = 4;
    private static final int EVENT_MILLIS = 36;
    private static final int TOKENS_PER_EVENT = 3;
    private static final int FIRST_EVENT_MILLIS = 60;
    private static final int PREEMPTED_ONE_IN = 33;
    private static final int PREEMPTIONS = 2;
    private static final int PREEMPTION_MILLIS = 1_000;
    private static final int LATE_FROM_MILLIS = 3_100;
    private static final int LATE_SPREAD_MILLIS = 900;
    private static final int CLIENT_DEADLINE_MILLIS = 15_000;
    private static final String MODELS = "[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}]";
    private static final String CONFIGURATION = "{\"version\":3,\"routes\":["
            + "{\"name\":\"sheet\",\"host\":\"shop.example\",\"prefix\":\"/sheet/\",\"route_type\":\"streaming\","
            + "\"timeout_ms\":15000,\"target_latency_ms\":800,\"priority\":1,\"service\":\"shop-llm\",\"max_attempts\":2,"
            + "\"public\":false,\"session_affinity\":true,\"resumable\":true,\"gap_aim_ms\":300}],"
            + "\"services\":[{\"name\":\"shop-llm\",\"health_path\":\"/healthz\",\"max_connections\":300,"
            + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":48,\"kv_cache_tokens\":118381,"
            + "\"models\":[{\"name\":\"m0\",\"weights_mb\":42700.0,\"load_time_s\":2.5,\"adapters\":3000,"
            + "\"adapter_mb\":66.0}],\"weights_mb\":44800.0,\"adapter_slots\":19,\"loads_per_s\":4.5}}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000},"
            + "\"tenants\":[{\"name\":\"tenant-1\",\"api_keys\":[\"key-1\"],\"priority\":1,\"unit\":\"token_count\","
            + "\"plain_tokens\":200,\"rate_per_s\":0,\"burst\":0}]}";

    private final EntryProgram entry;
    private final Record record;
    private final Map<String, Outcome> outcomes = new ConcurrentHashMap<>();

    /** What a client has seen of a request; status 0 if there was no answer. */
    private record Outcome(long sentAt, long endedAt, int status, boolean whole) {}

    private DrainCutStreams(EntryProgram entry, Record record) {
        this.entry = entry;
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        boolean trouble = arguments[2].equals("1");
        Path folder = Files.createTempDirectory("review");
        int result = EXIT_NOT_RUN;
        try (Record record = new Record(Path.of(arguments[1]));
                StandInStore store = new StandInStore("127.0.0.1")) {
            store.put("op", "config", Optional.of(CONFIGURATION));
            List<StandInWorker> workers = new ArrayList<>();
            for (int number = 1; number <= 6; number++) {
                workers.add(new StandInWorker(
                        "i-0b" + number,
                        "shop-llm",
                        "127.0.0.1",
                        "zone-a",
                        MODELS,
                        store,
                        record,
                        DrainCutStreams::generate));
            }
            try (EntryProgram first =
                            new EntryProgram(root, folder, "edge-zone-a-1", "127.0.0.1", "zone-a", store.address());
                    EntryProgram second =
                            new EntryProgram(root, folder, "edge-zone-a-2", "127.0.0.2", "zone-a", store.address())) {
                first.start();
                second.start();
                first.awaitReady();
                second.awaitReady();
                Thread.sleep(2_000);
                result = new DrainCutStreams(first, record).play(trouble, workers);
            }
        } catch (IOException failed) {
            System.err.println("the case could not run: " + failed);
        }
        System.exit(result);
    }

    /** Generates as many events as the request's body says; one in some runs is preempted twice in the middle. */
    private static void generate(StandInWorker.Run run, StandInWorker.Answer answer) throws Exception {
        int number = Integer.parseInt(run.requestId.substring(run.requestId.lastIndexOf('-') + 1));
        boolean preempted = number % PREEMPTED_ONE_IN == 20;
        int events = Integer.parseInt(run.request.text().trim());
        Thread.sleep(FIRST_EVENT_MILLIS);
        answer.beginStream();
        for (int event = 1; event <= events; event++) {
            answer.event(event, "text " + event);
            Thread.sleep(EVENT_MILLIS);
            for (int preemption = 1; preempted && preemption <= PREEMPTIONS; preemption++) {
                if (event == preemption * events / (PREEMPTIONS + 1)) {
                    Thread.sleep(PREEMPTION_MILLIS);
                }
            }
        }
        answer.endStream();
    }

    private int play(boolean trouble, List<StandInWorker> workers) throws Exception {
        List<Client> clients = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int number = 0; number < CLIENTS; number++) {
            Client client = new Client(number);
            clients.add(client);
            threads.add(Threads.start("client", client::playCalm));
            Thread.sleep(20);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        long calm = outcomes.values().stream().filter(Outcome::whole).count();
        record.line("before the restart %d of %d requests were answered whole", calm, outcomes.size());
        if (calm < outcomes.size()) {
            return EXIT_NOT_RUN;
        }
        Thread.sleep(500);
        long restartAt = System.nanoTime();
        if (trouble) {
            entry.signal("TERM");
            record.line("SIGTERM to %s", entry.name());
        }
        threads.clear();
        clients.forEach(client -> threads.add(Threads.start("client", () -> client.playLate(restartAt))));
        for (Thread thread : threads) {
            thread.join();
        }
        if (trouble) {
            record.line("the process has ended within grace_s: %s", entry.awaitExit(8_000 - millisSince(restartAt)));
        }
        return judge(restartAt, workers);
    }

    private static long millisSince(long nanos) {
        return (System.nanoTime() - nanos) / 1_000_000;
    }

    /** A client with one connection that it keeps open. */
    private final class Client {
        private final int number;
        private Socket socket;
        private StandInHttp reader;

        private Client(int number) {
            this.number = number;
        }

        private void playCalm() throws Exception {
            for (int round = 0; round < CALM_ROUNDS; round++) {
                send(round);
            }
        }

        private void playLate(long restartAt) throws Exception {
            long delay = LATE_FROM_MILLIS + (long) number * LATE_SPREAD_MILLIS / CLIENTS;
            Thread.sleep(Math.max(0, delay - millisSince(restartAt)));
            send(CALM_ROUNDS);
        }

        /** Sends a request of 40 to 74 events; the preempted ones have as many as others. */
        private void send(int round) throws IOException {
            int identity = round * CLIENTS + number;
            int events = 40 + identity * 7 % 35;
            String id = "draft-" + identity;
            if (socket == null) {
                socket = new Socket(entry.ip(), entry.port());
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(CLIENT_DEADLINE_MILLIS);
                reader = new StandInHttp(socket.getInputStream());
            }
            String body = Integer.toString(events);
            String request = "POST /sheet/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id
                    + "\r\nX-Model: m0\r\nX-Token-Count: 1460," + events * TOKENS_PER_EVENT
                    + "\r\nX-Prompt-Prefix: 5c1e07a2:350," + Integer.toHexString(0x10000 + identity)
                    + ":1110\r\nX-Deadline-Ms: " + CLIENT_DEADLINE_MILLIS
                    + "\r\nAuthorization: Bearer key-1\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
            long sentAt = System.nanoTime();
            record.line("client sends %s to %s: %d events", id, entry.name(), events);
            Optional<StandInHttp.Message> answer = Optional.empty();
            try {
                socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
                answer = reader.read(true);
            } catch (IOException cut) {
                record.line("client loses the connection of %s: %s", id, cut.getMessage());
            }
            int status = answer.map(StandInHttp.Message::status).orElse(0);
            boolean whole = answer.map(StandInHttp.Message::whole).orElse(false);
            outcomes.put(id, new Outcome(sentAt, System.nanoTime(), status, whole));
            record.line("client gets %s: status %d, %s", id, status, whole ? "whole" : "not whole");
        }
    }

    /** Looks for answers that end early although their requests were sent later than 3 s after the SIGTERM, and worked on. */
    private int judge(long restartAt, List<StandInWorker> workers) {
        long late = outcomes.values().stream()
                .filter(outcome -> outcome.sentAt() > restartAt)
                .count();
        long served = outcomes.values().stream()
                .filter(outcome -> outcome.sentAt() > restartAt && outcome.status() == 200 && outcome.whole())
                .count();
        List<String> lost = outcomes.entrySet().stream()
                .filter(entry -> entry.getValue().sentAt() > restartAt && !entry.getValue().whole())
                .filter(entry -> workers.stream()
                        .flatMap(worker -> worker.runs().stream())
                        .anyMatch(run -> run.requestId.equals(entry.getKey())))
                .map(entry -> entry.getKey() + " sent "
                        + (entry.getValue().sentAt() - restartAt) / 1_000_000 + " ms after, cut "
                        + (entry.getValue().endedAt() - restartAt) / 1_000_000 + " ms after")
                .sorted()
                .toList();
        record.line("%d requests sent 3.1 s and more after, %d of them served whole", late, served);
        String verdict = lost.isEmpty() ? "LOST held" : "LOST broken: " + lost;
        record.line("%s", verdict);
        System.out.println(verdict);
        return lost.isEmpty() ? EXIT_HELD : EXIT_BROKEN;
    }
}
