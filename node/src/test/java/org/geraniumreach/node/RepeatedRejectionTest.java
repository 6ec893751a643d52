package org.geraniumreach.node;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Sends requests to a target that rejects them until their adapter is loaded, and repeats its rejections late. */
class RepeatedRejectionTest {

    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(4);
    private static final int REQUESTS = 10;

    /** They allow the retries of the rejected ones. */
    private static final int OTHER_REQUESTS = 80;

    private static final int MAXIMUM_REJECTIONS = 3;
    private static final String REJECTED = "rejected-";
    private static final long RUN_MILLIS = 100;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final FakePlatform platform = new FakePlatform();
    private final Map<String, List<Integer>> rejectedOn = new ConcurrentHashMap<>();
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final ScriptedTarget target = new ScriptedTarget(this::answer);

    RepeatedRejectionTest() throws IOException {
        SilenceConfiguration configuration = new SilenceConfiguration();
        configuration.addService("engines");
        configuration.addRoute("flow", "/chat/", "engines");
        platform.configure(configuration.text(2));
        platform.addTarget("one", "engines").reachThrough(target.address());
    }

    @AfterEach
    void close() throws IOException {
        target.close();
        platform.close();
    }

    /** Rejects a request a few times or until it comes on the connection of a rejection, where a copy of that comes before its answer. */
    private void answer(ScriptedTarget.Call call) throws IOException, InterruptedException {
        String id = "X-Attempt-Id: " + call.id() + "\r\n";
        String rejection = "HTTP/1.1 421 Misdirected\r\n" + id + "Content-Length: 2\r\n\r\nno";
        if (call.id().startsWith(REJECTED)) {
            List<Integer> connections = rejectedOn.computeIfAbsent(call.id(), missing -> new CopyOnWriteArrayList<>());
            boolean sameConnection = connections.contains(call.connection());
            if (!sameConnection && connections.size() < MAXIMUM_REJECTIONS) {
                connections.add(call.connection());
                call.write(rejection);
                return;
            }
            runs.merge(call.id(), 1, Integer::sum);
            if (sameConnection) {
                call.write(rejection);
            }
            Thread.sleep(RUN_MILLIS);
        }
        String event = "id: 1\ndata: x\n\n";
        call.write(
                "HTTP/1.1 200 OK\r\n" + id + "X-Server-Seal: one\r\nContent-Type: text/event-stream\r\nContent-Length: "
                        + event.length() + "\r\n\r\n" + event);
    }

    /** Guards against a late copy of a rejection that is taken for the answer to the same request sent again, which then runs twice. */
    @Test
    void aCopyOfARejectionIsNotTakenForTheAnswerToTheNextWrite() throws Exception {
        FakeFleet fleet = new FakeFleet(platform, 1);
        fleet.awaitReady("/chat/x");
        for (int number = 0; number < OTHER_REQUESTS; number++) {
            send(fleet, "other-" + number);
        }
        List<Integer> statuses = new ArrayList<>();
        for (int number = 0; number < REQUESTS; number++) {
            statuses.add(send(fleet, REJECTED + number));
        }
        assertThat(runs).hasSize(REQUESTS);
        assertThat(runs.values()).containsOnly(1);
        assertThat(statuses).containsOnly(200);
    }

    private int send(FakeFleet fleet, String id) throws Exception {
        HttpRequest request = CallerRequests.post(fleet.address(0), "/chat/x", id, CALLER_TIMEOUT, "hi", "base/a1")
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
    }
}
