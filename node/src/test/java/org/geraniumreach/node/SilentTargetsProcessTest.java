package org.geraniumreach.node;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import org.assertj.core.api.SoftAssertions;
import org.geraniumreach.gateway.process.ProcessSettings.RepeatLimits;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Runs entries as processes before sound targets that fall silent for up to three seconds, while callers keep their connections.
 *
 * <p>Guards the rule that a target's silence is no reason to end an answer sooner, and that a connection on which a request was passed on to a sound
 * target is not closed without an answer.
 */
class SilentTargetsProcessTest {

    private static final int ENTRIES = 2;
    private static final int TARGETS = 4;
    private static final int REQUESTS_PER_CASE = 2;
    private static final int MAXIMUM_FIRST_TRIES = 100;
    private static final long[] SILENCE_MILLIS = {500, 1_000, 1_500, 2_000, 3_000};

    /** So long after they are ready the entries have their parts of the fixed retries. */
    private static final Duration START_TIME = Duration.ofSeconds(1);

    /** Leaves idempotent requests time to move during the longest silence. */
    private static final int TIMEOUT_MILLIS = 6_000;

    private static final Duration TIME_BETWEEN_SILENCES = Duration.ofMillis(300);

    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final Queue<SilentTarget.Run> runs = new ConcurrentLinkedQueue<>();
    private final List<KeptCaller.Answer> answers = new ArrayList<>();

    @TempDir(cleanup = CleanupMode.ON_SUCCESS)
    private Path directory;

    /** How much the retries of the entries are limited. */
    private enum Budget {
        NEARLY_NIL(new RepeatLimits(0.001, 1, Duration.ofSeconds(10))),
        AMPLE(new RepeatLimits(1, 1_000, Duration.ofSeconds(10)));

        private final RepeatLimits limits;

        Budget(RepeatLimits limits) {
            this.limits = limits;
        }
    }

    /** The kinds of route. */
    private enum Kind {
        CHAT(EnumSet.range(SilentTarget.Place.BEFORE_HEAD, SilentTarget.Place.WITHIN_EVENT)),
        FLOW(EnumSet.range(SilentTarget.Place.BEFORE_HEAD, SilentTarget.Place.WITHIN_EVENT)),
        LOOK(EnumSet.of(SilentTarget.Place.BEFORE_HEAD, SilentTarget.Place.WITHIN_BODY)),
        BOOK(EnumSet.of(SilentTarget.Place.BEFORE_HEAD, SilentTarget.Place.WITHIN_BODY));

        private final Set<SilentTarget.Place> places;

        Kind(Set<SilentTarget.Place> placesWithinAnswer) {
            places = EnumSet.copyOf(placesWithinAnswer);
            places.add(SilentTarget.Place.BEFORE_END);
        }

        private String path(Extent extent) {
            return '/' + name().toLowerCase(Locale.ROOT) + '-' + extent.silentTargets + '/';
        }
    }

    /** How many targets of a service are silent at once; each has services of its own. */
    private enum Extent {
        ONE(1),
        HALF(TARGETS / 2),
        ALL(TARGETS);

        private final int silentTargets;

        Extent(int silentTargets) {
            this.silentTargets = silentTargets;
        }
    }

    /** Guards against answers that end for a silence of their target, and against requests that run at two targets. */
    @ParameterizedTest
    @EnumSource(Budget.class)
    void noAnswerEndsForASilenceOfItsTarget(Budget budget) throws Exception {
        List<SilentTarget> silentTargets = new ArrayList<>();
        List<SilentTarget> all = new ArrayList<>();
        try (FakePlatform platform = new FakePlatform()) {
            SilenceConfiguration configuration = new SilenceConfiguration();
            configuration.setTimeout(TIMEOUT_MILLIS);
            for (Extent extent : Extent.values()) {
                for (String service : List.of("engines-" + extent.silentTargets, "plain-" + extent.silentTargets)) {
                    configuration.addService(service);
                    for (int number = 0; number < TARGETS; number++) {
                        String name = service + "-" + number;
                        SilentTarget target = new SilentTarget(name, runs);
                        all.add(target);
                        platform.addTarget(name, service).reachThrough(target.address());
                        if (number < extent.silentTargets) {
                            silentTargets.add(target);
                        }
                    }
                }
                configuration.addRoute("chat", Kind.CHAT.path(extent), "engines-" + extent.silentTargets);
                configuration.addRoute("flow", Kind.FLOW.path(extent), "engines-" + extent.silentTargets);
                configuration.addRoute("look", Kind.LOOK.path(extent), "plain-" + extent.silentTargets);
                configuration.addRoute("book", Kind.BOOK.path(extent), "plain-" + extent.silentTargets);
            }
            platform.configure(configuration.text(2));
            try (EntryProcesses entries = new EntryProcesses(platform, ENTRIES, directory, budget.limits)) {
                entries.awaitReady();
                Thread.sleep(START_TIME.toMillis());
                callThroughSilences(entries, silentTargets);
                Thread.sleep(TIME_BETWEEN_SILENCES.toMillis());
            }
        } finally {
            executor.shutdownNow();
            for (SilentTarget target : all) {
                target.close();
            }
        }
        verify(budget);
    }

    private void callThroughSilences(EntryProcesses entries, List<SilentTarget> silentTargets) throws Exception {
        List<Caller> callers = callers(entries);
        List<Future<?>> connecting = new ArrayList<>();
        callers.forEach(caller -> connecting.add(executor.submit(caller::connect)));
        for (Future<?> each : connecting) {
            each.get();
        }
        for (long millis : SILENCE_MILLIS) {
            silentTargets.forEach(target -> target.fallSilent(millis));
            List<Future<KeptCaller.Answer>> running = callers.stream()
                    .map(caller -> executor.submit(() -> caller.call(millis)))
                    .toList();
            for (Future<KeptCaller.Answer> each : running) {
                answers.add(each.get());
            }
            Thread.sleep(TIME_BETWEEN_SILENCES.toMillis());
        }
        callers.forEach(caller -> caller.connection().close());
    }

    private record Caller(KeptCaller connection, String name, String path) {
        /** Calls until the connection is kept, since a busy entry may close new connections unread. */
        private void connect() {
            for (int tries = 0; tries < MAXIMUM_FIRST_TRIES && !connection.isConnected(); tries++) {
                connection.call(name + "-first-" + tries, path);
            }
        }

        private KeptCaller.Answer call(long silenceMillis) {
            return connection.call(name + "-" + silenceMillis, path);
        }
    }

    private static List<Caller> callers(EntryProcesses entries) {
        List<Caller> callers = new ArrayList<>();
        for (Extent extent : Extent.values()) {
            for (Kind kind : Kind.values()) {
                for (SilentTarget.Place place : kind.places) {
                    for (int number = 0; number < REQUESTS_PER_CASE; number++) {
                        InetSocketAddress entry =
                                entries.entries().get(number % ENTRIES).address();
                        String path = kind.path(extent) + place;
                        callers.add(new Caller(
                                new KeptCaller(entry), path.substring(1).replace('/', '-') + "-" + number, path));
                    }
                }
            }
        }
        return callers;
    }

    private void verify(Budget budget) throws Exception {
        SilentRuns atTargets = new SilentRuns(runs);
        List<String> ids = answers.stream().map(KeptCaller.Answer::id).toList();
        for (Kind kind : Kind.values()) {
            String prefix = kind.path(Extent.ONE).split("-")[0];
            List<KeptCaller.Answer> ofKind = answers.stream()
                    .filter(answer -> answer.path().startsWith(prefix))
                    .toList();
            System.out.printf(
                    "%s, retries %s: %d of %d answers ended, %d moved%n",
                    kind,
                    budget,
                    ofKind.stream().filter(answer -> !answer.isWhole()).count(),
                    ofKind.size(),
                    ofKind.stream()
                            .filter(answer -> atTargets.count(answer.id()) > 1)
                            .count());
        }
        ClosingLines lines =
                ClosingLines.read(List.of(directory.resolve("entry-0.log"), directory.resolve("entry-1.log")));
        SoftAssertions softly = new SoftAssertions();
        softly.assertThat(answers.stream().filter(answer -> !answer.isWhole()).toList())
                .as("answers that ended")
                .isEmpty();
        softly.assertThat(answers.stream().filter(answer -> !answer.isInOrder()).toList())
                .as("answers with events lost or repeated")
                .isEmpty();
        softly.assertThat(answers.stream()
                        .filter(answer -> !answer.mayRepeat() && atTargets.count(answer.id()) > 1)
                        .toList())
                .as("requests that ran twice")
                .isEmpty();
        softly.assertThat(atTargets.overlaps(ids))
                .as("runs that go on beside the next")
                .isEmpty();
        softly.assertThat(lines.notOnce(ids))
                .as("requests without one closing line")
                .isEmpty();
        softly.assertAll();
    }
}
