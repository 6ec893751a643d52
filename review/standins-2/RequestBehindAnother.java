import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Lets clients send an idempotent request while the one before it on their connection is being answered.
 *
 * <p>Without trouble, a client sends the second request when it has read the answer to the first. Arguments: the root of the repository, the
 * record, and 1 for trouble or 0 for none.
 */
final class RequestBehindAnother {

    private static final int EXIT_HELD = 0;
    private static final int EXIT_BROKEN = 1;
    private static final int EXIT_NOT_RUN = 2;
    private static final int CLIENTS = 10;
    private static final int ROUNDS = 5;
    private static final int PAUSE_MILLIS = 15;
    private static final int WORK_MILLIS = 60;
    private static final int ROUTE_TIMEOUT_MILLIS = 800;
    private static final int RULE_SLACK_MILLIS = 500;
    private static final int PATIENCE_MILLIS = 3_000;
    private static final String CONFIGURATION = "{\"version\":3,\"routes\":["
            + "{\"name\":\"look\",\"host\":\"shop.example\",\"prefix\":\"/look/\",\"route_type\":\"idempotent\","
            + "\"timeout_ms\":" + ROUTE_TIMEOUT_MILLIS
            + ",\"target_latency_ms\":100,\"priority\":2,\"service\":\"jobcard-app\",\"max_attempts\":2,"
            + "\"public\":false}],"
            + "\"services\":[{\"name\":\"jobcard-app\",\"health_path\":\"/healthz\",\"max_connections\":100,"
            + "\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000},"
            + "\"tenants\":[{\"name\":\"tenant-1\",\"api_keys\":[\"key-1\"],\"priority\":1,\"unit\":\"token_count\","
            + "\"plain_tokens\":200,\"rate_per_s\":0,\"burst\":0}]}";

    private final Record record;
    private final boolean trouble;
    private final AtomicInteger numbers = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger stillUnanswered = new AtomicInteger();

    private RequestBehindAnother(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        Path folder = Files.createTempDirectory("review");
        int result = EXIT_NOT_RUN;
        try (Record record = new Record(Path.of(arguments[1]));
                StandInStore store = new StandInStore("127.0.0.1")) {
            store.put("op", "config", Optional.of(CONFIGURATION));
            for (String id : List.of("i-0e1", "i-0e2", "i-0e3")) {
                new StandInWorker(
                        id, "jobcard-app", "127.0.0.1", "zone-a", "[]", store, record, RequestBehindAnother::work);
            }
            try (EntryProgram entry =
                    new EntryProgram(root, folder, "edge-zone-a-1", "127.0.0.1", "zone-a", store.address())) {
                entry.start();
                entry.awaitReady();
                Thread.sleep(1_000);
                result = new RequestBehindAnother(record, arguments[2].equals("1")).play(entry);
            }
        } catch (IOException failed) {
            System.err.println("the case could not run: " + failed);
        }
        System.exit(result);
    }

    private static void work(StandInWorker.Run run, StandInWorker.Answer answer) throws Exception {
        Thread.sleep(WORK_MILLIS);
        answer.whole(200, "stock for " + run.requestId);
    }

    private int play(EntryProgram entry) throws Exception {
        List<Thread> threads = new ArrayList<>();
        for (int client = 0; client < CLIENTS; client++) {
            threads.add(Threads.start("client", () -> playClient(entry)));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        boolean broken = stillUnanswered.get() * 2 > unanswered.get();
        String verdict = (broken ? "CONFIG broken: " : "CONFIG held: ") + unanswered.get() + " of " + numbers.get()
                + " requests had no answer at their route's timeout of " + ROUTE_TIMEOUT_MILLIS + " ms, "
                + stillUnanswered.get() + " none " + RULE_SLACK_MILLIS + " ms later";
        record.line("%s", verdict);
        System.out.println(verdict);
        return broken ? EXIT_BROKEN : EXIT_HELD;
    }

    private void playClient(EntryProgram entry) throws Exception {
        for (int round = 0; round < ROUNDS; round++) {
            try (Socket socket = new Socket(entry.ip(), entry.port())) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(PATIENCE_MILLIS);
                StandInHttp reader = new StandInHttp(socket.getInputStream());
                String first = send(socket);
                long firstSentAt = System.nanoTime();
                if (!trouble) {
                    receive(reader, first, firstSentAt);
                }
                Thread.sleep(PAUSE_MILLIS);
                String second = send(socket);
                long secondSentAt = System.nanoTime();
                if (trouble) {
                    receive(reader, first, firstSentAt);
                }
                receive(reader, second, secondSentAt);
            }
        }
    }

    private String send(Socket socket) throws IOException {
        String id = "lookup-" + numbers.incrementAndGet();
        record.line("client sends %s", id);
        String request = "GET /look/copper HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id
                + "\r\nX-Deadline-Ms: " + PATIENCE_MILLIS + "\r\nAuthorization: Bearer key-1\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        return id;
    }

    private void receive(StandInHttp reader, String id, long sentAt) {
        String result;
        try {
            result = reader.read(true)
                    .map(answer -> "status " + answer.status() + ", " + answer.text())
                    .orElse("the end of the connection");
        } catch (IOException failed) {
            result = "nothing: " + failed.getMessage();
        }
        long millis = (System.nanoTime() - sentAt) / 1_000_000;
        record.line("client gets for %s after %d ms: %s", id, millis, result);
        if (millis > ROUTE_TIMEOUT_MILLIS) {
            unanswered.incrementAndGet();
        }
        if (millis > ROUTE_TIMEOUT_MILLIS + RULE_SLACK_MILLIS) {
            stillUnanswered.incrementAndGet();
        }
    }
}
