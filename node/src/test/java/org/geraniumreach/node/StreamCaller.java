package org.geraniumreach.node;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;

/** A caller that reads one stream of events, and may take it up again with further attempts. Confined to one thread, except that any may query whether it has begun. */
final class StreamCaller {

    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(10);
    private static final String DATA_FIELD = "data: ";

    private final String id;
    private final String path;
    private final int eventCount;
    private final List<String> writers = new CopyOnWriteArrayList<>();
    private final List<Integer> statuses = new ArrayList<>();
    private final HttpClient client;
    private String account = FakePlatform.KEY;
    private Optional<String> firstAttempt = Optional.empty();

    /**
     * Creates a caller.
     *
     * @param client the client to use
     * @param id the prefix of the ids of its attempts
     * @param path the path to call
     * @param eventCount the number of events of the whole stream
     */
    StreamCaller(HttpClient client, String id, String path, int eventCount) {
        this.client = client;
        this.id = id;
        this.path = path;
        this.eventCount = eventCount;
    }

    /** Uses another key from now on. */
    void setKey(String key) {
        account = key;
    }

    /** Calls an entry and reads until the stream ends or breaks off. */
    void call(InetSocketAddress entry) throws InterruptedException {
        call(entry, OptionalInt.empty());
    }

    /** Calls an entry and leaves after a number of events of this attempt. */
    void callAndLeave(InetSocketAddress entry, int events) throws InterruptedException {
        call(entry, OptionalInt.of(events));
    }

    private void call(InetSocketAddress entry, OptionalInt leaveAfter) throws InterruptedException {
        String attempt = id + "-" + statuses.size();
        try {
            HttpResponse<InputStream> response =
                    client.send(request(entry, attempt), HttpResponse.BodyHandlers.ofInputStream());
            statuses.add(response.statusCode());
            if (response.statusCode() == 200) {
                read(response.body(), attempt, leaveAfter);
            }
        } catch (IOException broken) {
            statuses.add(0);
        }
    }

    private HttpRequest request(InetSocketAddress entry, String attempt) {
        HttpRequest.Builder request = CallerRequests.post(entry, path, attempt, CALLER_TIMEOUT, "hi", "base")
                .setHeader("Authorization", "Bearer " + account);
        if (!writers.isEmpty()) {
            request.header("Last-Event-Id", Integer.toString(writers.size()));
            firstAttempt.ifPresent(first -> request.header("Resumes", first));
        }
        return request.build();
    }

    private void read(InputStream body, String attempt, OptionalInt leaveAfter) {
        int read = 0;
        try (BufferedReader reader = new BufferedReader(new InputStreamReader(body, StandardCharsets.UTF_8))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                if (!line.startsWith(DATA_FIELD)) {
                    continue;
                }
                firstAttempt = Optional.of(firstAttempt.orElse(attempt));
                writers.add(line.substring(DATA_FIELD.length()));
                read++;
                if (leaveAfter.isPresent() && read == leaveAfter.getAsInt()) {
                    return;
                }
            }
        } catch (IOException broken) {
            // The events read so far count; the caller may take the stream up again.
        }
    }

    boolean hasBegun() {
        return !writers.isEmpty();
    }

    boolean isComplete() {
        return writers.size() == eventCount;
    }

    /** Returns the software versions whose events the caller holds. */
    List<String> versions() {
        return writers.stream().distinct().toList();
    }

    /** Returns the number of events that the caller holds. */
    int events() {
        return writers.size();
    }

    int lastStatus() {
        return statuses.get(statuses.size() - 1);
    }

    static List<StreamCaller> mixed(Stream<StreamCaller> callers) {
        return callers.filter(caller -> caller.versions().size() > 1).toList();
    }

    @Override
    public String toString() {
        return id + " " + writers + " " + statuses;
    }
}
