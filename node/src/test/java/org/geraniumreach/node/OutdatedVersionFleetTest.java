package org.geraniumreach.node;

import java.io.EOFException;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Names a new version of an adapter while targets hold requests for the older one before they begin them. */
class OutdatedVersionFleetTest {

    private static final Duration LIMIT = Duration.ofSeconds(5);
    private static final Duration BEFORE_NAMING = Duration.ofMillis(700);
    private static final Duration AFTER_NAMING = Duration.ofMillis(2_600);
    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(10);
    private static final int REQUESTS_PER_SECOND = 20;

    private final FakePlatform platform = new FakePlatform();
    private final ScriptedTarget first = new ScriptedTarget(call -> answer(call, "one"));
    private final ScriptedTarget second = new ScriptedTarget(call -> answer(call, "two"));
    private final List<Long> outdatedBegins = new CopyOnWriteArrayList<>();
    private final AtomicInteger dropped = new AtomicInteger();
    private final AtomicInteger newestRuns = new AtomicInteger();
    private volatile Duration hold = Duration.ZERO;

    OutdatedVersionFleetTest() throws IOException {}

    @AfterEach
    void close() throws IOException {
        first.close();
        second.close();
        platform.close();
    }

    /** Begins a request for the older version only after a while, unless its connection has been closed by then. */
    private void answer(ScriptedTarget.Call call, String name) throws IOException {
        if (Integer.parseInt(call.headers().getOrDefault("X-Expect-Version", "1")) > 1) {
            newestRuns.incrementAndGet();
        } else if (!hold.isZero()) {
            awaitBegin(call);
            outdatedBegins.add(System.nanoTime());
        }
        call.write(call.wholeAnswer(name));
    }

    private void awaitBegin(ScriptedTarget.Call call) throws IOException {
        call.client().setSoTimeout((int) hold.toMillis());
        try {
            if (call.client().getInputStream().read() < 0) {
                dropped.incrementAndGet();
                throw new EOFException("the request was taken back");
            }
            throw new IOException("a request follows before the answer");
        } catch (SocketTimeoutException heldLongEnough) {
            call.client().setSoTimeout(0);
        }
    }

    /** Guards against requests that begin at an older version behind its bound, since nothing looks at a request that waits at its target. */
    @ParameterizedTest
    @CsvSource({"flow, 2800", "flow, 3400", "flow, 4000", "flow, 6000", "chat, 2800", "chat, 6000", "look, 4000"})
    void noRequestBeginsAtAnOlderVersionBehindItsBound(String kind, long holdMillis) throws Exception {
        SilenceConfiguration configuration = new SilenceConfiguration();
        configuration.addService("engines");
        configuration.addRoute(kind, "/chat/", "engines");
        platform.configure(configuration.text(2));
        platform.addTarget("one", "engines").reachThrough(first.address());
        platform.addTarget("two", "engines").reachThrough(second.address());
        FakeFleet fleet = new FakeFleet(platform, 1);
        fleet.awaitReady("/chat/x");
        fleet.setCallerTimeout(CALLER_TIMEOUT);
        hold = Duration.ofMillis(holdMillis);
        fleet.sendFor(BEFORE_NAMING, REQUESTS_PER_SECOND, "/chat/x");
        platform.putRow("op", "version/base.a1", "{\"model\":\"base\",\"adapter\":\"a1\",\"version\":2}");
        long acknowledgedAt = System.nanoTime();
        fleet.sendFor(AFTER_NAMING, REQUESTS_PER_SECOND, "/chat/x");
        Thread.sleep(hold.toMillis() + 500);
        assertThat(newestRuns).hasPositiveValue();
        assertThat(outdatedBegins.stream()
                        .map(begunAt ->
                                Duration.ofNanos(begunAt - acknowledgedAt).toMillis())
                        .filter(millis -> millis > LIMIT.toMillis()))
                .as(
                        "begun late, of %d begun, %d taken back, %d at the new version",
                        outdatedBegins.size(), dropped.get(), newestRuns.get())
                .isEmpty();
    }
}
