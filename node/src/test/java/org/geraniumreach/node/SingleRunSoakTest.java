package org.geraniumreach.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;

import org.geraniumreach.model.testing.FreeAddresses;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs entries as processes before targets that reject, repeat their rejections late, cut answers off, run late, end, and start again at the same
 * address under another name or for another service, without adapters; callers send refused requests again under their ids to the same entry.
 *
 * <p>A longer run: {@code -Dtest=SingleRunSoakTest -DargLine="-Dsoak.first=100 -Dsoak.seeds=50 -Dsoak.seconds=20"}; {@code soak.entries},
 * {@code soak.callers} and {@code soak.repetitions} set the number of entries, of callers, and of times that these send a refused request again.
 */
class SingleRunSoakTest {

    private static final long FIRST_SEED = Long.getLong("soak.first", 1);
    private static final long SEEDS = Long.getLong("soak.seeds", 2);
    private static final Duration LENGTH = Duration.ofSeconds(Long.getLong("soak.seconds", 8));
    private static final int ENTRIES = Integer.getInteger("soak.entries", 2);
    private static final int CALLERS = Integer.getInteger("soak.callers", 24);
    private static final int TARGETS_PER_SERVICE = 3;
    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(4);
    private static final Duration LATE_RUNS = Duration.ofSeconds(2);
    private static final int MAXIMUM_REPETITIONS = Integer.getInteger("soak.repetitions", 3);

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final Map<String, Integer> statuses = new ConcurrentHashMap<>();
    private final Set<String> ranThoughRefused = ConcurrentHashMap.newKeySet();
    private final AtomicInteger targetCount = new AtomicInteger();
    private final AtomicInteger copyCount = new AtomicInteger();

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    private Path directory;

    /** A target and its row. */
    private final class Member {
        private final FakePlatform platform;
        private final String service;
        private final String name;
        private final ScriptedTarget target;
        private final FakePlatform.FakeTarget row;
        private final Map<Integer, String> lateCopies = new ConcurrentHashMap<>();

        private Member(FakePlatform platform, String service, InetSocketAddress address, boolean loaded)
                throws IOException {
            this.platform = platform;
            this.service = service;
            this.name = service + "-" + targetCount.incrementAndGet();
            this.target = new ScriptedTarget(address, this::answer);
            this.row = platform.addTarget(name, service);
            if (!loaded) {
                target.unload();
            }
            row.reachThrough(target.address());
        }

        /** Ends and starts again at its address, under another name and perhaps for another service; the old row goes later. */
        private Member restart(Random random, String nextService) throws IOException, InterruptedException {
            target.close();
            Thread.sleep(random.nextInt(300));
            Member next = new Member(platform, nextService, target.address(), false);
            Thread.sleep(random.nextInt(1_000));
            row.leave();
            return next;
        }

        private void answer(ScriptedTarget.Call call) throws IOException, InterruptedException {
            ThreadLocalRandom random = ThreadLocalRandom.current();
            String id = call.identityHeaders(name);
            Optional<String> late = Optional.ofNullable(lateCopies.remove(call.connection()));
            if (late.isPresent()) {
                copyCount.incrementAndGet();
                call.write(late.get());
            }
            int kind = random.nextInt(100);
            boolean absent = call.headers().containsKey("X-Model") && !target.isLoaded();
            boolean misdirected = !name.equals(call.headers().get("X-Expect-Instance")) || absent || kind < 10;
            if (misdirected || kind < 25) {
                String rejection =
                        (misdirected ? "HTTP/1.1 421 Misdirected\r\n" : "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n")
                                + id + "Content-Length: 2\r\n\r\nno";
                if (random.nextInt(3) == 0) {
                    lateCopies.put(call.connection(), rejection);
                }
                call.write(rejection);
                return;
            }
            if (kind < 30) {
                call.client().setSoLinger(random.nextBoolean(), 0);
                call.client().close();
                return;
            }
            Thread.sleep(kind < 35 ? random.nextInt(1_500) : random.nextInt(20));
            runs.merge(call.id(), 1, Integer::sum);
            String whole = call.wholeAnswer(name);
            if (kind < 45) {
                call.write(whole.substring(0, random.nextInt(whole.length())));
                call.client().setSoLinger(random.nextBoolean(), 0);
                call.client().close();
            } else if (kind < 50) {
                call.write("HTTP/1.1 103 Early Hints\r\nX-Not-Executed: 1\r\n" + id + "\r\n" + whole);
            } else if (kind < 55) {
                call.write("HTTP/1.1 500 Failed\r\nX-Not-Executed: 1\r\n" + id + "Content-Length: 0\r\n\r\n");
            } else {
                call.write(kind < 60 ? whole + whole : whole);
            }
        }
    }

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
    }

    /** Guards against a request that may run once and runs twice, or that is refused and runs. */
    @ParameterizedTest
    @MethodSource("seeds")
    void noSingleRunRequestRunsTwiceOrThoughItWasRefused(long seed) throws Exception {
        Random random = new Random(seed);
        try (FakePlatform platform = new FakePlatform()) {
            platform.configure(SilenceConfiguration.ofSingleRuns().text(2));
            List<Member> members = new ArrayList<>();
            for (String service : List.of("engines", "plain")) {
                for (int number = 0; number < TARGETS_PER_SERVICE; number++) {
                    members.add(new Member(platform, service, FreeAddresses.next(), true));
                }
            }
            try (EntryProcesses entries = new EntryProcesses(platform, ENTRIES, directory)) {
                entries.awaitReady();
                long end = System.nanoTime() + LENGTH.toNanos();
                List<Future<?>> callers = new ArrayList<>();
                for (int number = 0; number < CALLERS; number++) {
                    String name = "caller-" + number;
                    Random own = new Random(random.nextLong());
                    callers.add(executor.submit(() -> callUntil(end, entries, name, own)));
                }
                while (System.nanoTime() < end) {
                    Thread.sleep(random.nextInt(600));
                    int index = random.nextInt(members.size());
                    members.set(index, members.get(index).restart(random, random.nextBoolean() ? "engines" : "plain"));
                }
                for (Future<?> caller : callers) {
                    caller.get();
                }
                Thread.sleep(LATE_RUNS.toMillis());
            } finally {
                executor.shutdownNow();
                for (Member member : members) {
                    member.target.close();
                }
            }
        }
        verify(seed);
    }

    private Void callUntil(long end, EntryProcesses entries, String name, Random random) throws InterruptedException {
        for (int number = 0; System.nanoTime() < end; number++) {
            String id = name + "-" + number;
            EntryProcesses.Entry entry = entries.entries().get(random.nextInt(ENTRIES));
            HttpRequest request = CallerRequests.post(
                            entry.address(),
                            random.nextBoolean() ? "/book/x" : "/chat/x",
                            id,
                            CALLER_TIMEOUT,
                            "hi",
                            "base/a1")
                    .build();
            int status = CallerRequests.status(client, request);
            for (int again = 0; SingleRunAssertions.NOT_RUN.contains(status) && again < MAXIMUM_REPETITIONS; again++) {
                if (runs.containsKey(id)) {
                    ranThoughRefused.add(id);
                }
                Thread.sleep(random.nextInt(30));
                status = CallerRequests.status(client, request);
            }
            statuses.put(id, status);
            Thread.sleep(random.nextInt(30));
        }
        return null;
    }

    private void verify(long seed) {
        System.out.printf(
                "seed %d: %d requests, %d run, %d answered, %d refused, %d copies of rejections%n",
                seed,
                statuses.size(),
                runs.size(),
                statuses.values().stream().filter(status -> status == 200).count(),
                statuses.values().stream()
                        .filter(SingleRunAssertions.NOT_RUN::contains)
                        .count(),
                copyCount.get());
        assertThat(runs).isNotEmpty();
        assertThat(ranThoughRefused)
                .as("requests that were refused and had run")
                .isEmpty();
        SingleRunAssertions.assertNoneRanTwiceOrThoughItWasRefused(runs, statuses);
    }
}
