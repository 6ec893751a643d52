package org.geraniumreach.gateway.retry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;

import org.geraniumreach.gateway.division.EqualDivision;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.process.ProcessSettings.RepeatLimits;
import org.geraniumreach.gateway.testing.RequestHarness;
import org.geraniumreach.gateway.testing.RetryWindows;
import org.geraniumreach.gateway.testing.VirtualTime;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Simulates entries that retry each rejected request as soon as they may. */
class RetryBudgetsTest {

    private static final String SERVICE = "service";
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final RepeatLimits LIMITS = new RepeatLimits(0.2, 98, WINDOW);
    private static final Duration STEP = Duration.ofMillis(20);
    private static final Duration PLAY = Duration.ofSeconds(90);
    private static final Duration LATEST_DISCOVERY = Duration.ofSeconds(1);
    private static final double FLEET_REQUESTS_PER_SECOND = 140;
    private static final Duration ENOUGH_TIME = Duration.ofSeconds(5);
    private static final Target TARGET = new RequestHarness()
            .addTarget("target")
            .registry()
            .findByService("service")
            .get(0);

    private final VirtualTime time = new VirtualTime();
    private final Set<String> rows = new HashSet<>();
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final List<Long> requests = new ArrayList<>();
    private final List<Long> retries = new ArrayList<>();
    private int started;

    /** One incarnation of an entry's process. */
    private final class Entry {
        private final Set<String> known;
        private final RetryBudgets budgets;
        private final RequestArrivals request;

        private Entry(String name, Set<String> known) {
            this.known = known;
            this.budgets = new RetryBudgets(LIMITS, new EqualDivision(name, () -> known), time);
            this.request = receive();
        }

        private RequestArrivals receive() {
            requests.add(time.nanos());
            return read(time.nanos());
        }

        private RequestArrivals read(long arrivedAt) {
            RequestArrivals received = budgets.receive(SERVICE, arrivedAt);
            received.send(TARGET).onArrived();
            return received;
        }

        private int retryAtMost(int count) {
            int made = 0;
            while (made < count
                    && budgets.decide(SERVICE, ENOUGH_TIME, Optional.empty()).granted()) {
                request.send(TARGET).onArrived();
                retries.add(time.nanos());
                made++;
            }
            return made;
        }
    }

    /** The course of the fleet's request rate, as a fraction of its maximum. */
    private enum Course {
        STEADY {
            @Override
            double at(double seconds) {
                return 1;
            }
        },
        FALLING {
            @Override
            double at(double seconds) {
                return seconds < 40 ? 1 : 0.05;
            }
        },
        RISING {
            @Override
            double at(double seconds) {
                return seconds < 40 ? 0.05 : 1;
            }
        },
        RAMPS {
            @Override
            double at(double seconds) {
                return Math.abs(seconds % 40 / 20 - 1);
            }
        },
        PULSE {
            @Override
            double at(double seconds) {
                return seconds >= 40 && seconds < 48 ? 1 : 0.02;
            }
        };

        abstract double at(double seconds);
    }

    /** What happens to the entries. */
    private enum Change {
        NONE,
        JOINS,
        LEAVES,
        RESTARTS,
        ALL
    }

    private void startEntry(String name, Set<String> known) {
        entries.put(name, new Entry(name, new HashSet<>(known)));
    }

    private void startEntries(int count) {
        for (int number = 0; number < count; number++) {
            rows.add("entry" + number);
        }
        rows.forEach(name -> startEntry(name, rows));
        started = count;
    }

    private void join(Random random) {
        String name = "entry" + started++;
        rows.add(name);
        entries.values().forEach(entry -> time.schedule(discovery(random), () -> entry.known.add(name)));
        startEntry(name, rows);
    }

    private void leave(Random random) {
        if (entries.size() == 1) {
            return;
        }
        String name = anyName(random);
        rows.remove(name);
        entries.remove(name);
        entries.values().forEach(entry -> time.schedule(discovery(random), () -> entry.known.remove(name)));
    }

    private String anyName(Random random) {
        return List.copyOf(entries.keySet()).get(random.nextInt(entries.size()));
    }

    private static Duration discovery(Random random) {
        return Duration.ofMillis(random.nextInt((int) LATEST_DISCOVERY.toMillis()));
    }

    private void change(Change change, Random random) {
        switch (change) {
            case JOINS -> join(random);
            case LEAVES -> leave(random);
            case RESTARTS -> startEntry(anyName(random), rows);
            case ALL -> change(Change.values()[1 + random.nextInt(3)], random);
            default -> {
                // The entries stay as they are.
            }
        }
    }

    private void play(Course course, Change change, Random random) {
        long steps = PLAY.dividedBy(STEP);
        double stepSeconds = STEP.toMillis() / 1_000.0;
        double changes = 0;
        for (int step = 0; step < steps; step++) {
            time.advance(STEP);
            double seconds = step * stepSeconds;
            // Up to a third of the entries change at the same time, and single ones in between.
            if (step % 1_000 == 700) {
                changes += entries.size() / 3.0;
            }
            changes += random.nextInt(100) == 0 ? 1 : 0;
            for (; changes >= 1; changes--) {
                change(change, random);
            }
            double expected = FLEET_REQUESTS_PER_SECOND * course.at(seconds) * stepSeconds;
            List<Entry> all = List.copyOf(entries.values());
            int count = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
            for (int request = 0; request < count; request++) {
                all.get(random.nextInt(all.size())).receive();
            }
            // Bursts in which every request is rejected, between seconds with a few rejections.
            boolean burst = seconds % 20 > 12;
            all.stream()
                    .filter(entry -> random.nextInt(burst ? 25 : 200) == 0)
                    .forEach(entry -> entry.retryAtMost(burst ? Integer.MAX_VALUE : 1));
        }
    }

    /** Gets the largest number of retries beyond what is allowed in any window; not positive if the limit holds. */
    private double maximumExcess() {
        return windows().mapToDouble(RetryWindows.Window::excess).max().orElseThrow();
    }

    private Stream<RetryWindows.Window> windows() {
        return new RetryWindows(LIMITS, requests, retries).windows();
    }

    static Stream<Arguments> plays() {
        return Stream.of(2, 6, 29, 340).flatMap(count -> Stream.of(Course.values())
                .flatMap(course -> Stream.of(Change.values()).map(change -> Arguments.of(count, course, change))));
    }

    /** Guards against entries that together make more retries than a service allows. */
    @ParameterizedTest
    @MethodSource("plays")
    void allEntriesTogetherStayWithinTheLimit(int count, Course course, Change change) {
        startEntries(count);
        play(course, change, new Random(count));
        assertThat(retries).isNotEmpty();
        assertThat(maximumExcess()).isLessThanOrEqualTo(0);
    }

    /** Guards against windows in which entries that have joined together use parts that the others have not given up yet. */
    @ParameterizedTest
    @CsvSource({"2, 27", "6, 23", "29, 29", "29, 311"})
    void entriesThatJoinTogetherStayWithinTheLimit(int count, int joining) {
        startEntries(count);
        Random random = new Random(1);
        int step = 0;
        for (; step < 700; step++) {
            time.advance(STEP);
        }
        for (int joined = 0; joined < joining; joined++) {
            join(random);
        }
        for (; step < 2_000; step++) {
            if (step % 25 == 0) {
                entries.values().forEach(entry -> entry.retryAtMost(Integer.MAX_VALUE));
            }
            time.advance(STEP);
        }
        assertThat(maximumExcess()).isLessThanOrEqualTo(0);
    }

    /** Guards against entries that take the parts of others as soon as these have left, although they were used. */
    @ParameterizedTest
    @CsvSource({"29, 20", "340, 300"})
    void entriesThatRemainStayWithinTheLimit(int count, int leaving) {
        startEntries(count);
        Random random = new Random(1);
        for (int step = 0; step < 2_000; step++) {
            time.advance(STEP);
            if (step == 900) {
                for (int left = 0; left < leaving; left++) {
                    leave(random);
                }
            }
            if (step % 25 == 0) {
                entries.values().forEach(entry -> entry.retryAtMost(Integer.MAX_VALUE));
            }
        }
        assertThat(maximumExcess()).isLessThanOrEqualTo(0);
    }

    /** Guards against a budget that is of no use: a burst of rejections at one of few entries is retried. */
    @ParameterizedTest
    @CsvSource({"1, 18", "2, 14", "6, 8"})
    void aBurstOfRejectionsAtOneOfFewEntriesIsRetried(int count, int rejected) {
        startEntries(count);
        time.advance(WINDOW.plus(ServiceRetryBudget.DISCOVERY_TIME));
        assertThat(entries.get("entry0").retryAtMost(rejected)).isEqualTo(rejected);
    }

    /** Guards against leaving most of the allowed retries unused. */
    @ParameterizedTest
    @CsvSource({"2, 150", "6, 150", "29, 150", "340, 70"})
    void entriesTogetherUseAGoodPartOfTheLimit(int count, int expected) {
        startEntries(count);
        play(Course.STEADY, Change.NONE, new Random(1));
        int maximum = windows().mapToInt(RetryWindows.Window::retries).max().orElseThrow();
        assertThat(maximum).isGreaterThanOrEqualTo(expected);
    }

    /** Guards against a restarted entry that uses its part a second time within the window. */
    @Test
    void aProcessThatHasJustStartedHasNoPartOfTheFixedRetries() {
        startEntries(2);
        Entry entry = entries.get("entry0");
        assertThat(entry.retryAtMost(1)).isZero();
        time.advance(WINDOW.minusMillis(1));
        assertThat(entry.retryAtMost(1)).isZero();
        entry.receive();
        for (int request = 0; request < 6; request++) {
            entry.receive();
        }
        assertThat(entry.retryAtMost(2)).isEqualTo(1);
    }

    /** Guards against an entry that takes itself for the only one before it has read the others' rows. */
    @Test
    void anEntryThatIsNotListedHasNoPartOfTheFixedRetries() {
        Entry entry = new Entry("entry", new HashSet<>());
        time.advance(Duration.ofMinutes(1));
        assertThat(entry.retryAtMost(1)).isZero();
    }

    /** Guards against an entry that retries more after a suspension, since it reads the requests of that time together. */
    @ParameterizedTest
    @ValueSource(ints = {0, 2, 6, 9})
    void requestsOfASuspensionCountFromTheirArrival(int suspendedSeconds) {
        Entry entry = new Entry("entry", new HashSet<>());
        receiveSteadily(entry, 100);
        long suspendedAt = time.nanos();
        int unread = suspendedSeconds * 10;
        time.advance(Duration.ofSeconds(suspendedSeconds));
        for (int request = 0; request < unread; request++) {
            entry.read(suspendedAt);
        }
        receiveSteadily(entry, 98);
        assertThat(entry.retryAtMost(Integer.MAX_VALUE)).isBetween(14, 15);
    }

    /** Receives ten requests a second. */
    private void receiveSteadily(Entry entry, int count) {
        for (int request = 0; request < count; request++) {
            time.advance(Duration.ofMillis(100));
            entry.receive();
        }
    }

    /** Guards against requests and retries that count for longer or shorter than the window. */
    @Test
    void requestsAndRetriesCountForTheWindow() {
        Entry entry = new Entry("entry", new HashSet<>());
        for (int request = 0; request < 7; request++) {
            entry.receive();
        }
        time.advance(WINDOW.minusMillis(200));
        assertThat(entry.retryAtMost(2)).isEqualTo(1);
        time.advance(Duration.ofMillis(200));
        assertThat(entry.retryAtMost(1)).isZero();
        for (int request = 0; request < 7; request++) {
            entry.receive();
        }
        time.advance(WINDOW.minusMillis(200));
        assertThat(entry.retryAtMost(1)).isZero();
    }

    /** Guards against services that use up each other's retries. */
    @Test
    void eachServiceHasABudgetOfItsOwn() {
        RetryBudgets budgets = new RetryBudgets(LIMITS, (key, limit) -> 0, time);
        for (int request = 0; request < 7; request++) {
            budgets.receive("one", time.nanos());
        }
        assertThat(budgets.decide("one", ENOUGH_TIME, Optional.empty()).result())
                .isEqualTo(RetryDecision.Result.GRANTED);
        assertThat(budgets.decide("other", ENOUGH_TIME, Optional.empty()).result())
                .isEqualTo(RetryDecision.Result.NO_BUDGET);
    }

    /** Guards against retries that take capacity although their caller has gone by the time of the answer. */
    @ParameterizedTest
    @CsvSource({"100, , GRANTED", "100, 100, NO_TIME", "101, 100, GRANTED", "50, , GRANTED", "40, , NO_TIME"})
    void aRetryNeedsEnoughTimeForAnAnswer(long remainingMillis, Long estimateMillis, RetryDecision.Result expected) {
        RetryBudgets budgets = new RetryBudgets(LIMITS, (key, limit) -> limit, time);
        time.advance(WINDOW.plus(ServiceRetryBudget.DISCOVERY_TIME));
        budgets.recordAnswer(SERVICE, Duration.ofMillis(40));
        budgets.recordAnswer(SERVICE, Duration.ofMillis(90));
        Optional<Duration> estimate = Optional.ofNullable(estimateMillis).map(Duration::ofMillis);
        assertThat(budgets.decide(SERVICE, Duration.ofMillis(remainingMillis), estimate)
                        .result())
                .isEqualTo(expected);
    }

    /** Guards against an entry that uses the parts of entries that left while it had no requests, although these were used. */
    @Test
    void aPartThatGrewWithoutRequestsCountsAfterAWindow() {
        startEntries(6);
        Entry entry = entries.get("entry0");
        time.advance(Duration.ofMinutes(1));
        assertThat(entry.retryAtMost(8)).isEqualTo(8);
        time.advance(Duration.ofMinutes(1));
        entry.known.removeIf(name -> !name.equals("entry0"));
        assertThat(entry.retryAtMost(18)).isEqualTo(8);
        time.advance(WINDOW.plusSeconds(1));
        assertThat(entry.retryAtMost(18)).isEqualTo(18);
    }
}
