package org.geraniumreach.node;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import org.geraniumreach.gateway.overload.AcceptLimiter;
import org.geraniumreach.gateway.port.CallerAnswer;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.request.Arrival;
import org.geraniumreach.gateway.request.GatewayRequest;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.testing.FreeAddresses;
import org.geraniumreach.platform.Ingress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Drains an entry whose callers keep sending over loopback until it has ended. */
class EntryDrainCallersTest {

    private static final Duration KILL_TIMEOUT = Duration.ofSeconds(8);

    /** The process exits at most this long after the drain; a request that it reads in that time gets no answer. */
    private static final Duration EXIT_TIME = Duration.ofMillis(300);

    private static final Duration ANSWER_TIME = Duration.ofMillis(5);
    private static final Ingress.Limits LIMITS = new Ingress.Limits(16_384, 1_000_000, Duration.ofSeconds(10));
    private static final Duration RECONNECT_DELAY = Duration.ofMillis(1);
    private static final int CALLERS = 8;
    private static final int CLOCK_SPEED = 2;
    private static final int SOCKET_TIMEOUT_MILLIS = 5_000;
    private static final String BODY = "the complete answer";

    private final ScheduledExecutorService loop = Executors.newSingleThreadScheduledExecutor();
    private final Set<String> read = ConcurrentHashMap.newKeySet();
    private final Set<String> readAfterDrain = ConcurrentHashMap.newKeySet();
    private final Set<String> answered = ConcurrentHashMap.newKeySet();
    private volatile boolean drained;
    private volatile boolean stopped;

    @AfterEach
    void stop() {
        loop.shutdownNow();
    }

    // Guards against a request that is read just before the process exits: its connection was closed without an answer.
    @Test
    void allRequestsThatWereReadAreAnsweredAndNoneIsReadAfterTheDrain() throws Exception {
        InetSocketAddress address = FreeAddresses.next();
        List<Thread> callers = new ArrayList<>();
        Ingress.Endpoints endpoints = new Ingress.Endpoints(address, FreeAddresses.next());
        DecisionLog log = (event, subject, fields) -> {};
        AcceptLimiter acceptLimiter = new AcceptLimiter(MonotonicClock.system(), log);
        try (Ingress ingress = Ingress.start(endpoints, LIMITS, this::receive, acceptLimiter, () -> true, loop, log)) {
            for (int number = 0; number < CALLERS; number++) {
                String name = "caller-" + number;
                callers.add(new Thread(() -> sendUntilStopped(address, name), name));
            }
            callers.forEach(Thread::start);
            ingress.drain();
            MonotonicClock fastClock = () -> System.nanoTime() * CLOCK_SPEED;
            EntryDrain drain = new EntryDrain(new IngressCallers(ingress), Runnable::run, KILL_TIMEOUT, fastClock);
            drain.run(maxDuration -> {}, () -> {}, () -> {}, released -> {});
            drained = true;
            assertThat(ingress.closeIdleConnections().get()).isZero();
            Thread.sleep(EXIT_TIME.toMillis());
        }
        stopped = true;
        for (Thread caller : callers) {
            caller.join();
        }
        assertThat(readAfterDrain).isEmpty();
        assertThat(read).hasSizeGreaterThan(CALLERS);
        assertThat(answered).containsAll(read);
    }

    private Cancellable receive(GatewayRequest request, Arrival arrival, CallerAnswer answer) {
        (drained ? readAfterDrain : read).add(request.id());
        loop.schedule(
                () -> {
                    answer.writeHead(200, List.of());
                    answer.writePart(BODY.getBytes(StandardCharsets.US_ASCII));
                    answer.end();
                },
                ANSWER_TIME.toMillis(),
                TimeUnit.MILLISECONDS);
        return Cancellable.NOOP;
    }

    private void sendUntilStopped(InetSocketAddress address, String name) {
        int number = 0;
        while (!stopped) {
            try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
                boolean open = true;
                while (open && !stopped) {
                    String id = name + "-" + number++;
                    String answer = exchange(socket, id);
                    if (answer.contains(BODY)) {
                        answered.add(id);
                    }
                    open = answer.contains(BODY) && !answer.contains("Connection: close");
                }
            } catch (IOException closed) {
                // The entry may close a connection from which it reads no more; the test checks the requests that were
                // read.
                LockSupport.parkNanos(RECONNECT_DELAY.toNanos());
            }
        }
    }

    /** Sends a request and returns what was received until the answer was complete or the connection was closed. */
    private static String exchange(Socket socket, String id) throws IOException {
        String request = "POST /draft/ HTTP/1.1\r\nHost: drafts.example\r\nX-Attempt-Id: " + id
                + "\r\nX-Deadline-Ms: 5000\r\nContent-Length: 2\r\n\r\nhi";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        InputStream input = socket.getInputStream();
        StringBuilder received = new StringBuilder();
        byte[] buffer = new byte[1_024];
        while (received.indexOf(BODY) < 0) {
            int count = input.read(buffer);
            if (count < 0) {
                break;
            }
            received.append(new String(buffer, 0, count, StandardCharsets.US_ASCII));
        }
        return received.toString();
    }
}
