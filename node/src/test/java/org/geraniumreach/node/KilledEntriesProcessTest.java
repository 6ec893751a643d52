package org.geraniumreach.node;

import java.net.http.HttpClient;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Kills all entries at once while a service has two software versions, and takes the streams up that have broken off. */
class KilledEntriesProcessTest {

    private static final String PATH = "/chat/x";
    private static final int ENTRIES = 3;
    private static final int STREAMS = 24;
    private static final int EVENTS = 100;
    private static final long EVENT_INTERVAL_MILLIS = 50;

    /** By then, entries know the versions that may begin streams. */
    private static final long ADOPTION_MILLIS = 4_000;

    /** The streams take longer by as much again. */
    private static final long BEGIN_MILLIS = 2_500;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final List<FakePlatform.FakeTarget> oldTargets = new ArrayList<>();

    @TempDir
    private Path directory;

    /** When the targets of the old version leave. */
    enum OldVersion {
        STAYS,
        LEAVES_BEFORE_THE_KILL,
        LEAVES_WHILE_NO_ENTRY_RUNS
    }

    @AfterEach
    void close() {
        executor.shutdownNow();
    }

    private static FakePlatform.FakeTarget addTarget(FakePlatform platform, String name, String version)
            throws Exception {
        FakePlatform.FakeTarget target = platform.addTarget(name, "engines", version);
        target.generate(new FakePlatform.Generation(EVENTS, EVENT_INTERVAL_MILLIS, OptionalInt.empty()));
        return target;
    }

    private List<Future<Void>> run(List<StreamCaller> callers, EntryProcesses entries, int shift) {
        List<Future<Void>> running = new ArrayList<>();
        for (int number = 0; number < callers.size(); number++) {
            StreamCaller caller = callers.get(number);
            EntryProcesses.Entry entry = entries.entries().get((number + shift) % ENTRIES);
            Callable<Void> call = () -> {
                caller.call(entry.address());
                return null;
            };
            running.add(executor.submit(call));
        }
        return running;
    }

    private static void awaitAll(List<Future<Void>> running) throws Exception {
        for (Future<Void> each : running) {
            each.get();
        }
    }

    /** Waits until the streams have begun; a loaded machine may take most of the time for the first events. */
    private static void awaitBegun(List<StreamCaller> callers) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(BEGIN_MILLIS);
        while (!callers.stream().allMatch(StreamCaller::hasBegun) && System.nanoTime() < until) {
            Thread.sleep(10);
        }
    }

    /** Guards against a caller's text that is joined from two software versions, with nothing that shows it. */
    @ParameterizedTest
    @EnumSource(OldVersion.class)
    void noStreamIsJoinedFromTwoVersions(OldVersion oldVersion) throws Exception {
        List<StreamCaller> callers = new ArrayList<>();
        for (int number = 0; number < STREAMS; number++) {
            callers.add(new StreamCaller(client, "stream-" + number, PATH, EVENTS));
        }
        try (FakePlatform platform = new FakePlatform()) {
            oldTargets.add(addTarget(platform, "one-a", "v1"));
            oldTargets.add(addTarget(platform, "one-b", "v1"));
            addTarget(platform, "two-a", "v2");
            addTarget(platform, "two-b", "v2");
            try (EntryProcesses entries = new EntryProcesses(platform, ENTRIES, directory)) {
                entries.awaitReady();
                Thread.sleep(ADOPTION_MILLIS);
                final List<Future<Void>> broken = run(callers, entries, 0);
                awaitBegun(callers);
                leave(oldVersion == OldVersion.LEAVES_BEFORE_THE_KILL);
                for (EntryProcesses.Entry entry : entries.entries()) {
                    entry.kill();
                }
                awaitAll(broken);
                leave(oldVersion == OldVersion.LEAVES_WHILE_NO_ENTRY_RUNS);
                for (EntryProcesses.Entry entry : entries.entries()) {
                    entry.start();
                }
                entries.awaitReady();
                awaitAll(run(callers, entries, 1));
                Thread.sleep(ADOPTION_MILLIS);
                awaitAll(run(callers, entries, 2));
            }
        }
        assertThat(callers).filteredOn(StreamCaller::hasBegun).hasSizeGreaterThan(STREAMS / 2);
        assertThat(callers).flatExtracting(StreamCaller::versions).contains("v1", "v2");
        assertThat(StreamCaller.mixed(callers.stream())).isEmpty();
    }

    private void leave(boolean now) {
        if (now) {
            oldTargets.forEach(FakePlatform.FakeTarget::leave);
        }
    }
}
