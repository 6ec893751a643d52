import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Lets many clients send long bodies, which the configuration allows, at the same time.
 *
 * <p>Arguments: the root of the repository, the record, and 1 for trouble or 0 for none, in which case they send them one after another.
 */
final class ConcurrentUploads {

    private static final int EXIT_HELD = 0;
    private static final int EXIT_BROKEN = 1;
    private static final int EXIT_NOT_RUN = 2;
    private static final int CLIENTS = 40;
    private static final int BODY_BYTES = 4_000_000;
    private static final int ROUTE_TIMEOUT_MILLIS = 5_000;
    private static final int RULE_SLACK_MILLIS = 500;
    private static final int RULE_MINIMUM = 8;
    private static final int CLIENT_PATIENCE_MILLIS = 20_000;
    private static final String CONFIGURATION = "{\"version\":3,\"routes\":["
            + "{\"name\":\"book\",\"host\":\"shop.example\",\"prefix\":\"/book/\",\"route_type\":\"non_idempotent\","
            + "\"timeout_ms\":" + ROUTE_TIMEOUT_MILLIS
            + ",\"target_latency_ms\":1000,\"priority\":2,\"service\":\"jobcard-app\",\"max_attempts\":1,"
            + "\"public\":false}],"
            + "\"services\":[{\"name\":\"jobcard-app\",\"health_path\":\"/healthz\",\"max_connections\":100,"
            + "\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000},"
            + "\"tenants\":[{\"name\":\"tenant-1\",\"api_keys\":[\"key-1\"],\"priority\":1,\"unit\":\"token_count\","
            + "\"plain_tokens\":200,\"rate_per_s\":0,\"burst\":0}]}";

    private ConcurrentUploads() {}

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        boolean trouble = arguments[2].equals("1");
        Path folder = Files.createTempDirectory("review");
        int result = EXIT_NOT_RUN;
        try (Record record = new Record(Path.of(arguments[1]));
                StandInStore store = new StandInStore("127.0.0.1")) {
            store.put("op", "config", Optional.of(CONFIGURATION));
            for (String id : List.of("i-0c1", "i-0c2", "i-0c3")) {
                new StandInWorker(
                        id, "jobcard-app", "127.0.0.1", "zone-a", "[]", store, record, ConcurrentUploads::work);
            }
            try (EntryProgram entry =
                    new EntryProgram(root, folder, "edge-zone-a-1", "127.0.0.1", "zone-a", store.address())) {
                entry.start();
                entry.awaitReady();
                Thread.sleep(1_000);
                result = play(entry, record, trouble);
            }
        } catch (IOException failed) {
            System.err.println("the case could not run: " + failed);
        }
        System.exit(result);
    }

    private static void work(StandInWorker.Run run, StandInWorker.Answer answer) throws Exception {
        Thread.sleep(20);
        answer.whole(200, "received " + run.request.body().length);
    }

    private static int play(EntryProgram entry, Record record, boolean trouble) throws Exception {
        List<Long> unanswered = new CopyOnWriteArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int number = 1; number <= CLIENTS; number++) {
            String id = "upload-" + number;
            Thread thread = Threads.start("client", () -> upload(entry, record, id, unanswered));
            threads.add(thread);
            if (!trouble) {
                thread.join();
            }
        }
        for (Thread thread : threads) {
            thread.join();
        }
        boolean broken = unanswered.size() >= RULE_MINIMUM && unanswered.size() * 4 > CLIENTS;
        String verdict = (broken ? "CONFIG broken: " : "CONFIG held: ") + unanswered.size() + " of " + CLIENTS
                + " requests had no answer " + (ROUTE_TIMEOUT_MILLIS + RULE_SLACK_MILLIS)
                + " ms after their last byte; the process lives: " + entry.isAlive() + ", says it is ready: "
                + entry.isReady();
        record.line("%s", verdict);
        System.out.println(verdict);
        return broken ? EXIT_BROKEN : EXIT_HELD;
    }

    private static void upload(EntryProgram entry, Record record, String id, List<Long> unanswered) {
        long sentAt = System.nanoTime();
        String result;
        try (Socket socket = new Socket(entry.ip(), entry.port())) {
            socket.setSoTimeout(CLIENT_PATIENCE_MILLIS);
            socket.getOutputStream()
                    .write(("POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: "
                                    + CLIENT_PATIENCE_MILLIS
                                    + "\r\nAuthorization: Bearer key-1\r\nConnection: close\r\nContent-Length: "
                                    + BODY_BYTES + "\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(new byte[BODY_BYTES]);
            sentAt = System.nanoTime();
            record.line("client has sent %s with %d bytes", id, BODY_BYTES);
            result = new StandInHttp(socket.getInputStream())
                    .read(true)
                    .map(answer -> "status " + answer.status())
                    .orElse("closed without an answer");
        } catch (IOException failed) {
            result = "no answer: " + failed.getMessage();
        }
        long millis = (System.nanoTime() - sentAt) / 1_000_000;
        if (millis > ROUTE_TIMEOUT_MILLIS + RULE_SLACK_MILLIS) {
            unanswered.add(millis);
        }
        record.line("client gets %s after %d ms: %s", id, millis, result);
    }
}
