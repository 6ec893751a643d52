package org.geraniumreach.node;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Closes connections on which a target sends bytes that do not end. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class EndlessAnswerTest {

    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(2);

    /** A request ends with its caller's time; what a target sends after that is closed at once. */
    private static final long LONGEST_ANSWER_MILLIS =
            CALLER_TIMEOUT.plusMillis(800).toMillis();

    private static final int CONCURRENT_CALLS = 20;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final AtomicInteger requests = new AtomicInteger();
    private FakePlatform platform;
    private EndlessTarget plain;
    private EndlessTarget engine;
    private FakeFleet fleet;

    @BeforeAll
    void start() throws Exception {
        platform = new FakePlatform();
        plain = new EndlessTarget();
        engine = new EndlessTarget();
        platform.addTarget("one", "plain").reachThrough(plain.address());
        platform.addTarget("two", "engines").reachThrough(engine.address());
        fleet = new FakeFleet(platform, 1);
        fleet.awaitReady("/look/x");
        fleet.awaitReady("/chat/x");
    }

    @AfterAll
    void close() throws Exception {
        plain.close();
        engine.close();
        platform.close();
    }

    private CompletableFuture<HttpResponse<byte[]>> call(String path) {
        String id = "endless-" + requests.incrementAndGet();
        HttpRequest request = CallerRequests.post(fleet.address(0), path, id, CALLER_TIMEOUT, "hi", "base")
                .timeout(CALLER_TIMEOUT.plusSeconds(2))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray());
    }

    /** Guards against a connection that is read for ever, and memory that fills, since a target's answer does not end. */
    @ParameterizedTest
    @EnumSource(
            mode = EnumSource.Mode.EXCLUDE,
            names = {"NONE", "NUMBERED_EVENTS"})
    void aConnectionOnWhichATargetSendsWithoutEndIsClosed(EndlessTarget.Endless endless) throws Exception {
        check(endless, "/look/x", plain);
    }

    @ParameterizedTest
    @EnumSource(
            mode = EnumSource.Mode.INCLUDE,
            names = {"INFORMATIONAL_HEADS", "CHUNKS", "NO_LENGTH", "REJECTION", "OTHER_REQUEST", "EVENT", "EVENTS"})
    void aConnectionOnWhichAnEngineSendsWithoutEndIsClosed(EndlessTarget.Endless endless) throws Exception {
        check(endless, "/chat/x", engine);
    }

    private void check(EndlessTarget.Endless endless, String path, EndlessTarget target) throws Exception {
        target.answered().clear();
        target.setEndless(endless);
        List<CompletableFuture<HttpResponse<byte[]>>> calls = new ArrayList<>();
        for (int call = 0; call < CONCURRENT_CALLS; call++) {
            calls.add(call(path));
        }
        for (CompletableFuture<HttpResponse<byte[]>> call : calls) {
            awaitEnd(call);
        }
        awaitClosed(target);
        assertThat(target.answered()).isNotEmpty();
        assertThat(target.answered())
                .allSatisfy(answer -> assertThat(answer.millis()).isLessThan(LONGEST_ANSWER_MILLIS));
        target.setEndless(EndlessTarget.Endless.NONE);
        assertThat(serves(path)).isTrue();
    }

    private static void awaitEnd(CompletableFuture<HttpResponse<byte[]>> call) {
        try {
            assertThat(call.join().statusCode()).isIn(200, 500, 502, 503, 504);
        } catch (CompletionException broken) {
            assertThat(broken).hasCauseInstanceOf(IOException.class);
        }
    }

    private static void awaitClosed(EndlessTarget target) throws InterruptedException {
        long until = System.nanoTime() + CALLER_TIMEOUT.toNanos();
        while (target.unended() > 0 && System.nanoTime() < until) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(target.unended()).isZero();
    }

    /** A target that has failed is left out for a while. */
    private boolean serves(String path) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (System.nanoTime() < until) {
            try {
                if (call(path).join().statusCode() == 200) {
                    return true;
                }
            } catch (CompletionException broken) {
                // Tried again below.
            }
            TimeUnit.MILLISECONDS.sleep(200);
        }
        return false;
    }
}
