import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Lets clients send bodies in chunks, one request after another.
 *
 * <p>With trouble, a client sends its next request on the same connection as soon as it has read an answer; without, it opens a new
 * connection for each. Each line of a body names its request and its place in it. Arguments: the root of the repository, the record, and 1 for trouble or 0 for none.
 */
final class KeptConnectionUploads {

    private static final int EXIT_HELD = 0;
    private static final int EXIT_BROKEN = 1;
    private static final int EXIT_NOT_RUN = 2;
    private static final int CLIENTS = 40;
    private static final int PLAY_SECONDS = 40;
    private static final int ENOUGH_CHANGED = 5;
    private static final int WORK_MILLIS = 15;
    private static final int LINE_BYTES = 16;
    private static final int MAXIMUM_LINES = 225;
    private static final int MAXIMUM_CHUNK_BYTES = 1_500;
    private static final int PATIENCE_MILLIS = 3_000;
    private static final String CONFIGURATION = "{\"version\":3,\"routes\":["
            + "{\"name\":\"book\",\"host\":\"shop.example\",\"prefix\":\"/book/\",\"route_type\":\"non_idempotent\","
            + "\"timeout_ms\":1500,\"target_latency_ms\":100,\"priority\":2,\"service\":\"jobcard-app\",\"max_attempts\":1,"
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
    private final Map<Integer, String> sentBodies = new ConcurrentHashMap<>();
    private final Map<String, Integer> answers = new ConcurrentSkipListMap<>();
    private final Map<String, String> changed = new ConcurrentSkipListMap<>();

    private KeptConnectionUploads(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        Path folder = Files.createTempDirectory("review");
        int result = EXIT_NOT_RUN;
        try (Record record = new Record(Path.of(arguments[1]));
                StandInStore store = new StandInStore("127.0.0.1")) {
            KeptConnectionUploads play = new KeptConnectionUploads(record, arguments[2].equals("1"));
            store.put("op", "config", Optional.of(CONFIGURATION));
            for (String id : List.of("i-0d1", "i-0d2", "i-0d3")) {
                new StandInWorker(id, "jobcard-app", "127.0.0.1", "zone-a", "[]", store, record, play::work);
            }
            try (EntryProgram entry =
                    new EntryProgram(root, folder, "edge-zone-a-1", "127.0.0.1", "zone-a", store.address())) {
                entry.start();
                entry.awaitReady();
                Thread.sleep(1_000);
                result = play.play(entry);
            }
        } catch (IOException failed) {
            System.err.println("the case could not run: " + failed);
        }
        System.exit(result);
    }

    /** Compares the body that the worker has received with the one that the client has sent. */
    private void work(StandInWorker.Run run, StandInWorker.Answer answer) throws Exception {
        String received = run.request.text();
        run.forgetBody();
        int number = Integer.parseInt(run.requestId.substring(run.requestId.lastIndexOf('-') + 1));
        String sent = sentBodies.get(number);
        if (!received.equals(sent)) {
            String difference = "sent " + sent.length() + " bytes, run with " + received.length() + " bytes"
                    + describeForeign(received, number);
            changed.put(run.requestId, difference);
            record.line("CHANGED %s: %s", run.requestId, difference);
        }
        Thread.sleep(WORK_MILLIS);
        answer.whole(200, "booked " + received.length());
    }

    private static String describeForeign(String received, int number) {
        Set<String> others = new TreeSet<>();
        String own = String.format(Locale.ROOT, "%07d:", number);
        for (String line : received.split("\n")) {
            if (line.matches("\\d{7}:\\d{7}") && !line.startsWith(own)) {
                others.add(line.substring(0, 7));
            }
        }
        return others.isEmpty() ? "" : ", with lines of the requests " + others;
    }

    private int play(EntryProgram entry) throws Exception {
        long endAt = System.nanoTime() + PLAY_SECONDS * 1_000_000_000L;
        List<Thread> threads = new ArrayList<>();
        for (int client = 0; client < CLIENTS; client++) {
            Random random = new Random(client);
            threads.add(Threads.start("client", () -> playClient(entry, random, endAt)));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        String verdict = (changed.isEmpty() ? "UNASKED held: " : "UNASKED broken: ") + changed.size() + " of "
                + numbers.get() + " requests ran with another body; the answers: " + answers;
        record.line("%s", verdict);
        System.out.println(verdict);
        changed.forEach((id, difference) -> System.out.println(id + ": " + difference));
        return changed.isEmpty() ? EXIT_HELD : EXIT_BROKEN;
    }

    private void playClient(EntryProgram entry, Random random, long endAt) throws Exception {
        while (System.nanoTime() < endAt && changed.size() < ENOUGH_CHANGED) {
            try (Socket socket = new Socket(entry.ip(), entry.port())) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(PATIENCE_MILLIS);
                StandInHttp reader = new StandInHttp(socket.getInputStream());
                boolean open = true;
                while (open && System.nanoTime() < endAt && changed.size() < ENOUGH_CHANGED) {
                    open = send(socket, reader, random) && trouble;
                }
            }
        }
    }

    /** Sends a request in one write, and returns whether its connection may be used again. */
    private boolean send(Socket socket, StandInHttp reader, Random random) {
        int number = numbers.incrementAndGet();
        String id = "booking-" + number;
        StringBuilder lines = new StringBuilder();
        int count = 1 + random.nextInt(MAXIMUM_LINES);
        for (int line = 0; line < count; line++) {
            lines.append(String.format(Locale.ROOT, "%07d:%07d\n", number, line));
        }
        String body = lines.toString();
        sentBodies.put(number, body);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(ascii("POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id
                + "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer key-1\r\nTransfer-Encoding: chunked\r\n\r\n"));
        int chunks = 0;
        for (int at = 0; at < body.length(); chunks++) {
            int length = Math.min(body.length() - at, 1 + random.nextInt(MAXIMUM_CHUNK_BYTES));
            bytes.writeBytes(ascii(Integer.toHexString(length) + "\r\n" + body.substring(at, at + length) + "\r\n"));
            at += length;
        }
        bytes.writeBytes(ascii("0\r\n\r\n"));
        String result;
        boolean open = false;
        try {
            socket.getOutputStream().write(bytes.toByteArray());
            Optional<StandInHttp.Message> answer = reader.read(true);
            result = answer.map(message -> "status " + message.status()).orElse("closed without an answer");
            open = answer.filter(message -> message.first("Connection").isEmpty()).isPresent();
        } catch (IOException failed) {
            result = "no answer: " + failed.getMessage();
        }
        sentBodies.remove(number);
        answers.merge(result, 1, Integer::sum);
        record.line("client sent %s: %d lines of %d bytes in %d chunks, gets %s", id, count, LINE_BYTES, chunks, result);
        return open;
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
