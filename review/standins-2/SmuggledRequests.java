import java.io.ByteArrayOutputStream;
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
 * Sends requests whose bodies hold the text of another request, which no client sends.
 *
 * <p>With trouble, the framing of the outer request is one that a careless reader gets wrong. Arguments: the root of the repository, the
 * record, and 1 for trouble or 0 for none.
 */
final class SmuggledRequests {

    private static final int EXIT_HELD = 0;
    private static final int EXIT_BROKEN = 1;
    private static final int EXIT_NOT_RUN = 2;
    private static final int ANSWER_MILLIS = 2_500;
    private static final String CONFIGURATION = "{\"version\":3,\"routes\":["
            + "{\"name\":\"book\",\"host\":\"shop.example\",\"prefix\":\"/book/\",\"route_type\":\"non_idempotent\","
            + "\"timeout_ms\":800,\"target_latency_ms\":100,\"priority\":2,\"service\":\"jobcard-app\",\"max_attempts\":1,"
            + "\"public\":false},"
            + "{\"name\":\"look\",\"host\":\"shop.example\",\"prefix\":\"/look/\",\"route_type\":\"idempotent\","
            + "\"timeout_ms\":800,\"target_latency_ms\":100,\"priority\":2,\"service\":\"jobcard-app\",\"max_attempts\":2,"
            + "\"public\":false}],"
            + "\"services\":[{\"name\":\"jobcard-app\",\"health_path\":\"/healthz\",\"max_connections\":100,"
            + "\"protocol\":\"h1\",\"tls\":false}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000},"
            + "\"tenants\":[{\"name\":\"tenant-1\",\"api_keys\":[\"key-1\"],\"priority\":1,\"unit\":\"token_count\","
            + "\"plain_tokens\":200,\"rate_per_s\":0,\"burst\":0}]}";

    /** An outer request: its start line, and the name of its length field. */
    private record Outer(String name, String startLine, String lengthField) {}

    private static final List<Outer> TROUBLE = List.of(
            new Outer("trace", "TRACE /look/copper HTTP/1.1", "Content-Length: "),
            new Outer("space before the colon", "POST /nowhere/1 HTTP/1.1", "Content-Length : "),
            new Outer("tab before the colon", "POST /nowhere/2 HTTP/1.1", "Content-Length\t: "));

    private static final List<Outer> CALM = List.of(
            new Outer("plain 1", "POST /book/1 HTTP/1.1", "Content-Length: "),
            new Outer("plain 2", "POST /nowhere/1 HTTP/1.1", "Content-Length: "),
            new Outer("plain 3", "PUT /look/copper HTTP/1.1", "Content-Length: "));

    private SmuggledRequests() {}

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        boolean trouble = arguments[2].equals("1");
        Path folder = Files.createTempDirectory("review");
        int result = EXIT_NOT_RUN;
        try (Record record = new Record(Path.of(arguments[1]));
                StandInStore store = new StandInStore("127.0.0.1")) {
            store.put("op", "config", Optional.of(CONFIGURATION));
            List<StandInWorker> workers = new ArrayList<>();
            for (String id : List.of("i-0a1", "i-0a2", "i-0a3")) {
                workers.add(new StandInWorker(
                        id, "jobcard-app", "127.0.0.1", "zone-a", "[]", store, record, SmuggledRequests::work));
            }
            try (EntryProgram entry =
                    new EntryProgram(root, folder, "edge-zone-a-1", "127.0.0.1", "zone-a", store.address())) {
                entry.start();
                entry.awaitReady();
                result = judge(record, workers, play(entry, record, trouble ? TROUBLE : CALM));
            }
        } catch (IOException failed) {
            System.err.println("the case could not run: " + failed);
        }
        System.exit(result);
    }

    private static void work(StandInWorker.Run run, StandInWorker.Answer answer) throws Exception {
        Thread.sleep(15);
        answer.whole(200, "done: " + run.request.startLine());
    }

    /** Plays all outer requests, each on a connection of its own, and returns the ids that clients have sent. */
    private static List<String> play(EntryProgram entry, Record record, List<Outer> outers) throws Exception {
        List<String> sent = new CopyOnWriteArrayList<>();
        int number = 0;
        for (Outer outer : outers) {
            number++;
            String id = "client-" + number;
            sent.add(id);
            String inner = request("POST /book/inner HTTP/1.1", "nobody-" + number) + "Content-Length: 2\r\n\r\nok";
            String bytes = request(outer.startLine(), id) + outer.lengthField() + inner.length() + "\r\n\r\n" + inner;
            record.line("client sends %s (%s): %s", id, outer.name(), oneLine(bytes));
            record.line("client gets: %s", oneLine(exchange(entry, bytes)));
        }
        return sent;
    }

    private static String request(String startLine, String id) {
        return startLine + "\r\nHost: shop.example\r\nX-Attempt-Id: " + id
                + "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer key-1\r\n";
    }

    private static String exchange(EntryProgram entry, String bytes) throws IOException {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        try (Socket socket = new Socket(entry.ip(), entry.port())) {
            socket.setSoTimeout(ANSWER_MILLIS);
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            byte[] buffer = new byte[4096];
            for (int count = socket.getInputStream().read(buffer);
                    count >= 0;
                    count = socket.getInputStream().read(buffer)) {
                received.write(buffer, 0, count);
            }
        } catch (IOException ended) {
            // The client waits no longer, or the entry has reset the connection.
        }
        return received.toString(StandardCharsets.ISO_8859_1);
    }

    private static String oneLine(String text) {
        return text.replace("\r\n", "|").replace("\t", "<tab>");
    }

    private static int judge(Record record, List<StandInWorker> workers, List<String> sent) {
        List<String> unasked = workers.stream()
                .flatMap(worker -> worker.runs().stream())
                .map(run -> run.requestId)
                .filter(id -> !sent.contains(id))
                .sorted()
                .toList();
        String verdict = unasked.isEmpty() ? "UNASKED held" : "UNASKED broken: workers ran " + unasked;
        record.line("%s", verdict);
        System.out.println(verdict);
        return unasked.isEmpty() ? EXIT_HELD : EXIT_BROKEN;
    }
}
