import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Lets clients send idempotent requests ahead: three at once on a connection, whose answers have to come in the same order.
 *
 * <p>Without trouble, a client sends each request when it has read the answer before. Arguments: the root of the repository, the record, and
 * 1 for trouble or 0 for none.
 */
final class RequestsSentAhead {

    private static final int EXIT_HELD = 0;
    private static final int EXIT_BROKEN = 1;
    private static final int EXIT_NOT_RUN = 2;
    private static final int CLIENTS = 20;
    private static final int SENT_AT_ONCE = 3;
    private static final int PLAY_SECONDS = 40;
    private static final int ENOUGH_FOREIGN = 5;
    private static final int WORK_MILLIS = 15;
    private static final int PATIENCE_MILLIS = 3_000;
    private static final String CONFIGURATION = "{\"version\":3,\"routes\":["
            + "{\"name\":\"look\",\"host\":\"shop.example\",\"prefix\":\"/look/\",\"route_type\":\"idempotent\","
            + "\"timeout_ms\":800,\"target_latency_ms\":100,\"priority\":2,\"service\":\"jobcard-app\",\"max_attempts\":2,"
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
    private final Map<String, Integer> answers = new ConcurrentSkipListMap<>();
    private final Map<String, String> foreign = new ConcurrentSkipListMap<>();

    private RequestsSentAhead(Record record, boolean trouble) {
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
                        id, "jobcard-app", "127.0.0.1", "zone-a", "[]", store, record, RequestsSentAhead::work);
            }
            try (EntryProgram entry =
                    new EntryProgram(root, folder, "edge-zone-a-1", "127.0.0.1", "zone-a", store.address())) {
                entry.start();
                entry.awaitReady();
                Thread.sleep(1_000);
                result = new RequestsSentAhead(record, arguments[2].equals("1")).play(entry);
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
        long endAt = System.nanoTime() + PLAY_SECONDS * 1_000_000_000L;
        List<Thread> threads = new ArrayList<>();
        for (int client = 0; client < CLIENTS; client++) {
            threads.add(Threads.start("client", () -> playClient(entry, endAt)));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        String verdict = (foreign.isEmpty() ? "MIXED held: " : "MIXED broken: ") + foreign.size() + " of "
                + numbers.get() + " requests got a success that belongs to another one, " + unanswered.get()
                + " got nothing in " + PATIENCE_MILLIS + " ms; the answers: " + answers;
        record.line("%s", verdict);
        System.out.println(verdict);
        return foreign.isEmpty() ? EXIT_HELD : EXIT_BROKEN;
    }

    private boolean goesOn(long endAt) {
        return System.nanoTime() < endAt && foreign.size() < ENOUGH_FOREIGN;
    }

    private void playClient(EntryProgram entry, long endAt) throws Exception {
        while (goesOn(endAt)) {
            try (Socket socket = new Socket(entry.ip(), entry.port())) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(PATIENCE_MILLIS);
                StandInHttp reader = new StandInHttp(socket.getInputStream());
                boolean open = true;
                while (open && goesOn(endAt)) {
                    open = sendSeveral(socket, reader);
                }
            }
        }
    }

    /** Sends some requests and reads their answers; returns whether the connection may be used again. */
    private boolean sendSeveral(Socket socket, StandInHttp reader) throws IOException {
        List<String> ids = new ArrayList<>();
        StringBuilder requests = new StringBuilder();
        for (int index = 0; index < (trouble ? SENT_AT_ONCE : 1); index++) {
            String id = "lookup-" + numbers.incrementAndGet();
            ids.add(id);
            requests.append("GET /look/copper HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id
                    + "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer key-1\r\n\r\n");
        }
        record.line("client sends %s", ids);
        socket.getOutputStream().write(requests.toString().getBytes(StandardCharsets.US_ASCII));
        for (String id : ids) {
            boolean open;
            try {
                open = reader.read(true).filter(answer -> isOwnOrRefusal(id, answer)).isPresent();
            } catch (IOException failed) {
                unanswered.incrementAndGet();
                record.line("client gets nothing for %s: %s", id, failed.getMessage());
                open = false;
            }
            if (!open) {
                return false;
            }
        }
        return true;
    }

    /** Records an answer, and returns whether the connection may be read further. */
    private boolean isOwnOrRefusal(String id, StandInHttp.Message answer) {
        answers.merge("status " + answer.status(), 1, Integer::sum);
        record.line("client gets for %s: status %d, %s", id, answer.status(), answer.text());
        boolean own = answer.status() != 200 || answer.text().equals("stock for " + id);
        if (!own) {
            foreign.put(id, answer.text());
            record.line("FOREIGN: %s got %s", id, answer.text());
        }
        return own && answer.first("Connection").isEmpty();
    }
}
