package org.geraniumreach.node;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

import org.geraniumreach.gateway.cold.ColdStartLimiter;
import org.geraniumreach.gateway.process.ProcessSettings;
import org.geraniumreach.gateway.quota.Quotas;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.testing.FreeAddresses;

/** Several entries in this process before one {@link FakePlatform}, and callers that send to all of them in turn. */
final class FakeFleet {

    private static final Duration READY_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(5);

    private final List<ProcessSettings> settings = new ArrayList<>();
    private final List<Result> results = new CopyOnWriteArrayList<>();
    private final Random random = new Random(1);
    private int adapterCount = 1;
    private Duration callerTimeout = CALLER_TIMEOUT;
    private final AtomicInteger requestCount = new AtomicInteger();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /** What a caller got. */
    record Result(int status, Duration elapsed, String retryAfter) {}

    FakeFleet(FakePlatform platform, int entryCount) throws IOException {
        this(platform, Collections.nCopies(entryCount, Set.of()));
    }

    /** Starts an entry for each set of features that its settings ask for. */
    FakeFleet(FakePlatform platform, List<Set<ProcessSettings.Feature>> features) throws IOException {
        for (int entry = 0; entry < features.size(); entry++) {
            settings.add(settings("entry-" + entry, platform, features.get(entry)));
            JsonLog log = JsonLog.start(OutputStream.nullOutputStream(), System::currentTimeMillis);
            new EntryProcess(settings.get(entry), OptionalInt.empty(), log).start();
        }
    }

    private static ProcessSettings settings(
            String instance, FakePlatform platform, Set<ProcessSettings.Feature> features) throws IOException {
        return new ProcessSettings(
                instance,
                FailureDomain.of("loopback"),
                FreeAddresses.next(),
                FreeAddresses.next(),
                FreeAddresses.next(),
                platform.address(),
                new ProcessSettings.RepeatLimits(1, 100, Duration.ofSeconds(10)),
                new Quotas.Tolerance(0, 0, Duration.ofSeconds(1)),
                new ColdStartLimiter.Tolerance(1, 0),
                Duration.ofSeconds(5),
                1,
                Duration.ofSeconds(1),
                features);
    }

    /** Waits until requests sent to each entry have been answered. */
    void awaitReady(String path) throws InterruptedException {
        long until = System.nanoTime() + READY_TIMEOUT.toNanos();
        for (int entry = 0; entry < settings.size(); entry++) {
            while (sendTo(entry, path).status() != 200) {
                if (System.nanoTime() > until) {
                    throw new IllegalStateException("entry " + entry + " is not ready");
                }
                Thread.sleep(100);
            }
        }
        results.clear();
    }

    /** Sets the number of adapters that requests name from now on, of which only the first is loaded at the start. */
    void setAdapterCount(int newAdapterCount) {
        adapterCount = newAdapterCount;
    }

    /** Sets how long callers wait from now on. */
    void setCallerTimeout(Duration timeout) {
        callerTimeout = timeout;
    }

    /** Sends requests at a rate to all entries in turn, without waiting for their answers. */
    void sendFor(Duration duration, int requestsPerSecond, String path) throws InterruptedException {
        long end = System.nanoTime() + duration.toNanos();
        while (System.nanoTime() < end) {
            int entry = requestCount.get() % settings.size();
            long sentAt = System.nanoTime();
            client.sendAsync(request(entry, path), HttpResponse.BodyHandlers.ofString())
                    .thenAccept(response -> results.add(toResult(response, sentAt)));
            Thread.sleep(1_000 / requestsPerSecond);
        }
    }

    private Result sendTo(int entry, String path) throws InterruptedException {
        long sentAt = System.nanoTime();
        try {
            return toResult(client.send(request(entry, path), HttpResponse.BodyHandlers.ofString()), sentAt);
        } catch (IOException unavailable) {
            return new Result(0, Duration.ZERO, "");
        }
    }

    private static Result toResult(HttpResponse<String> response, long sentAt) {
        return new Result(
                response.statusCode(),
                Duration.ofNanos(System.nanoTime() - sentAt),
                response.headers().firstValue("Retry-After").orElse(""));
    }

    private HttpRequest request(int entry, String path) {
        int number = requestCount.incrementAndGet();
        String id = "entry-" + entry + "-request-" + number;
        String model = "base/a" + (1 + random.nextInt(adapterCount));
        return CallerRequests.post(address(entry), path, id, callerTimeout, "hi", model)
                .build();
    }

    List<Result> results() {
        return results;
    }

    /** Gets the address at which an entry takes callers. */
    InetSocketAddress address(int entry) {
        return settings.get(entry).callerAddress();
    }
}
