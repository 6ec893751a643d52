package org.geraniumreach.gateway.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.geraniumreach.gateway.admission.AdmissionDecision.Admitted;
import org.geraniumreach.gateway.admission.AdmissionDecision.Queued;
import org.geraniumreach.gateway.admission.AdmissionDecision.Reason;
import org.geraniumreach.gateway.admission.AdmissionDecision.Rejected;
import org.geraniumreach.gateway.priority.PriorityOrder;
import org.geraniumreach.model.AccountId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class AdmissionQueueTest {

    private static final long MILLI = 1_000_000;
    private static final double TOKENS_PER_MILLI = 10;
    private static final Duration LIFETIME = Duration.ofSeconds(30);
    private static final Duration LONG = Duration.ofSeconds(20);

    private final AdmissionQueue queue = queue(OptionalInt.empty(), OptionalLong.empty());

    private static AdmissionQueue queue(OptionalInt slots, OptionalLong memoryTokens) {
        return new AdmissionQueue(new AdmissionSettings(slots, memoryTokens, LIFETIME), () -> TOKENS_PER_MILLI);
    }

    private static AdmissionRequest request(int urgency, String account, long promptTokens, Duration maximumDelay) {
        return new AdmissionRequest(
                urgency, Optional.of(AccountId.of(account)), 1, promptTokens, 0, maximumDelay, maximumDelay);
    }

    private static AdmissionRequest request(int urgency, String account) {
        return request(urgency, account, 800, LONG);
    }

    private static List<Long> admittedIds(List<Outcome> outcomes) {
        return outcomes.stream()
                .filter(outcome -> outcome.decision() instanceof Admitted)
                .map(Outcome::id)
                .toList();
    }

    /** Polls whenever the queue asks for it and returns the ids by their admission. */
    private static List<Long> admittedUntil(AdmissionQueue queue, long end) {
        List<Long> ids = new ArrayList<>();
        for (OptionalLong at = queue.nextEventAt(); at.isPresent() && at.getAsLong() <= end; at = queue.nextEventAt()) {
            ids.addAll(admittedIds(queue.poll(at.getAsLong())));
        }
        return ids;
    }

    @Test
    void anIdleTargetAdmitsAtOnceAndForetellsTheDelayOfTheNext() {
        assertThat(queue.offer(1, request(9, "a"), 0)).isEqualTo(new Admitted());
        assertThat(queue.offer(2, request(0, "a"), 0)).isEqualTo(new Queued(Duration.ofMillis(90)));
        assertThat(queue.poll(0)).isEmpty();
        assertThat(queue.nextEventAt()).hasValue(90 * MILLI);
        assertThat(queue.poll(90 * MILLI)).containsExactly(new Outcome(2, new Admitted()));
        assertThat(queue.nextEventAt()).isEmpty();
    }

    /** Guards against urgent callers behind a backlog of others, and against one account that takes all of a class. */
    @Test
    void ordersByUrgencyThenObjectiveThenUsageThenTimeLeft() {
        queue.offer(1, request(1, "busy"), 0);
        queue.offer(2, request(1, "busy"), 0);
        queue.offer(3, new AdmissionRequest(1, Optional.empty(), 1, 800, 0, Duration.ofMillis(10), LONG), 0);
        queue.offer(4, request(1, "idle"), 0);
        queue.offer(5, request(1, "other", 800, LONG.minusSeconds(1)), 0);
        queue.offer(6, request(0, "busy"), 0);
        assertThat(admittedUntil(queue, LONG.toNanos())).containsExactly(6L, 5L, 4L, 2L, 3L);
    }

    /** Guards against accounts that are favored or starved because their configured rate is missing. */
    @ParameterizedTest
    @ValueSource(doubles = {0, -1, Double.NaN, Double.POSITIVE_INFINITY, 5})
    void anInvalidWeightCountsAsTheMean(double weight) {
        AccountId account = AccountId.of("w");
        AdmissionRequest weighted = new AdmissionRequest(0, Optional.of(account), weight, 800, 0, LONG, LONG);
        AdmissionRequest other = new AdmissionRequest(0, Optional.of(AccountId.of("o")), 5, 800, 0, LONG, LONG);
        queue.offer(1, other, 0);
        queue.offer(2, weighted, 0);
        queue.poll(200 * MILLI);
        assertThat(queue.usage(weighted, 200 * MILLI)).isEqualTo(80.0 / 5);
    }

    @Test
    void whatCannotStartInTimeIsRejectedAtOnce() {
        queue.offer(1, request(0, "a"), 0);
        AdmissionDecision decision = queue.offer(2, request(0, "a", 800, Duration.ofMillis(80)), 0);
        assertThat(decision).isEqualTo(new Rejected(Duration.ofMillis(90), Reason.NO_TIME));
        assertThat(queue.size()).isZero();
    }

    /** Guards against callers that wait for their whole delay although a more urgent arrival has made it useless. */
    @Test
    void requestsPushedBeyondTheirDelayAreRejectedInTheNextPollTheLeastUrgentFirst() {
        queue.offer(1, request(0, "a"), 0);
        queue.offer(2, request(1, "a", 800, Duration.ofMillis(95)), 0);
        queue.offer(3, request(2, "a", 800, Duration.ofMillis(195)), 0);
        assertThat(queue.offer(4, request(0, "b", 8_000, LONG), 0)).isInstanceOf(Queued.class);
        List<Outcome> outcomes = queue.poll(0);
        assertThat(outcomes).extracting(Outcome::id).containsExactly(3L, 2L);
        assertThat(outcomes)
                .extracting(outcome -> ((Rejected) outcome.decision()).reason())
                .containsOnly(Reason.DISPLACED);
    }

    @Test
    void aFullQueueRejectsEquallyUrgentRequestsAndDisplacesTheLastOfTheLeastUrgent() {
        for (long id = 0; id <= AdmissionQueue.MAXIMUM_WAITING; id++) {
            queue.offer(id, request(1, "a" + id, 100, LONG), 0);
        }
        assertThat(queue.size()).isEqualTo(AdmissionQueue.MAXIMUM_WAITING);
        assertThat(queue.offer(1_000, request(1, "b", 100, LONG), 0))
                .isInstanceOfSatisfying(Rejected.class, rejected -> assertThat(rejected.reason())
                        .isEqualTo(Reason.QUEUE_FULL));
        assertThat(queue.offer(1_001, request(0, "b", 100, LONG), 0)).isInstanceOf(Queued.class);
        assertThat(queue.size()).isEqualTo(AdmissionQueue.MAXIMUM_WAITING);
        List<Outcome> outcomes = queue.poll(0);
        assertThat(outcomes).extracting(Outcome::id).containsExactly((long) AdmissionQueue.MAXIMUM_WAITING);
        queue.offer(1_002, request(0, "b", 100, LONG), 0);
        queue.withdraw(AdmissionQueue.MAXIMUM_WAITING - 1, 0);
        assertThat(queue.poll(0)).isEmpty();
    }

    /** Guards against rejected callers that come back together and are rejected together again. */
    @Test
    void rejectedCallersComeBackInTheirOrderSpacedByTheirPrefillTime() {
        queue.offer(1, request(0, "a"), 0);
        List<Duration> times = new ArrayList<>();
        for (long id = 2; id < 200; id++) {
            Rejected rejected = (Rejected) queue.offer(id, request(0, "a", 800, Duration.ZERO), 0);
            times.add(rejected.retryAfter());
        }
        assertThat(times.subList(0, 3))
                .containsExactly(Duration.ofMillis(90), Duration.ofMillis(190), Duration.ofMillis(290));
        assertThat(times).isSorted().allMatch(time -> time.compareTo(RetryTimes.LONGEST) <= 0);
    }

    /** Guards against a target that rejects all prompts for days after a caller has stated a wrong number of tokens. */
    @ParameterizedTest
    @ValueSource(longs = {1_000_000_000_000L, Long.MAX_VALUE})
    void aPromptOfAnImpossibleLengthDoesNotBlockTheTarget(long promptTokens) {
        queue.offer(1, request(0, "a", promptTokens, LONG), 0);
        assertThat(queue.offer(2, request(0, "b"), 0)).isInstanceOf(Queued.class);
        assertThat(admittedUntil(queue, LONG.toNanos())).containsExactly(2L);
    }

    /** Guards against reading the rate, which is estimated, once for each of the requests that wait. */
    @Test
    void theRateIsReadOnceForEachDecision() {
        int[] reads = {0};
        AdmissionQueue counting =
                new AdmissionQueue(new AdmissionSettings(OptionalInt.empty(), OptionalLong.empty(), LIFETIME), () -> {
                    reads[0]++;
                    return TOKENS_PER_MILLI;
                });
        for (long id = 0; id < 50; id++) {
            counting.offer(id, request(1, "a" + id, 100, LONG), 0);
        }
        reads[0] = 0;
        counting.offer(50, request(1, "b", 100, LONG), 0);
        counting.poll(0);
        assertThat(reads[0]).isEqualTo(2);
    }

    @Test
    void aRequestLargerThanTheMemoryIsAdmittedAlone() {
        AdmissionQueue small = queue(OptionalInt.empty(), OptionalLong.of(1_000));
        small.offer(1, request(0, "a", 10, LONG), 0);
        assertThat(small.offer(2, request(0, "a", 5_000, LONG), 0)).isInstanceOf(Queued.class);
        small.offer(3, request(0, "a", 10, LONG), 0);
        assertThat(admittedIds(small.poll(100 * MILLI))).isEmpty();
        small.end(1, 200 * MILLI);
        assertThat(admittedIds(small.poll(200 * MILLI))).containsExactly(2L);
        small.end(2, 2_000 * MILLI);
        assertThat(admittedIds(small.poll(2_000 * MILLI))).containsExactly(3L);
    }

    /** Guards against slots that are lost with the entry that was to report the end. */
    @Test
    void anAdmittedRequestWhoseEndNeverComesIsForgotten() {
        AdmissionQueue single = queue(OptionalInt.of(1), OptionalLong.empty());
        single.offer(1, request(0, "a"), 0);
        single.offer(2, request(0, "a", 800, LIFETIME.plusSeconds(1)), 0);
        assertThat(admittedUntil(single, LIFETIME.toNanos() - 1)).isEmpty();
        assertThat(admittedUntil(single, LIFETIME.toNanos())).containsExactly(2L);
        single.end(1, LIFETIME.toNanos());
        assertThat(single.offer(3, request(0, "a"), LIFETIME.toNanos() + 1_000 * MILLI))
                .isInstanceOf(Queued.class);
    }

    /** Guards against a new owner that admits a whole engine of requests beside those that run already. */
    @Test
    void requestsThatTheTargetReportsOccupySlotsUntilTheReportIsOutOfDate() {
        AdmissionQueue two = queue(OptionalInt.of(2), OptionalLong.empty());
        two.reportLoad(2, 0);
        assertThat(two.offer(1, request(0, "a", 0, LONG), 0)).isInstanceOf(Queued.class);
        assertThat(admittedUntil(two, TargetCapacity.REPORT_LIFETIME.toNanos())).isEmpty();
        assertThat(admittedUntil(two, LONG.toNanos())).containsExactly(1L);
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, -1, Double.NaN, Double.POSITIVE_INFINITY})
    void anUnknownRateDoesNotLimit(double rate) {
        AdmissionQueue unknown = new AdmissionQueue(
                new AdmissionSettings(OptionalInt.empty(), OptionalLong.empty(), LIFETIME), () -> rate);
        for (long id = 0; id < 300; id++) {
            assertThat(unknown.offer(id, request(0, "a", Long.MAX_VALUE, Duration.ZERO), Long.MIN_VALUE / 2))
                    .isEqualTo(new Admitted());
        }
    }

    /** Guards against admissions beyond the capacity, decisions that are lost or repeated, and an idle target beside waiting requests. */
    @Property(tries = 300)
    void keepsItsInvariantsUnderAnySequenceOfCalls(@ForAll long seed) {
        new RandomCalls(seed).run();
    }

    /** Random calls of a queue, beside a record of what it has admitted. */
    private static final class RandomCalls {

        private static final int SLOTS = 6;
        private static final long MEMORY_TOKENS = 12_000;
        private static final int CALLS = 400;

        private final Random random;
        private final AdmissionQueue queue = queue(OptionalInt.of(SLOTS), OptionalLong.of(MEMORY_TOKENS));
        private final Map<Long, AdmissionRequest> waiting = new LinkedHashMap<>();
        private final Map<Long, AdmissionRequest> running = new LinkedHashMap<>();
        private final Set<Long> decided = new HashSet<>();
        private long now;
        private long nextId;
        private double nextFreeAt;
        private double admittedCost;
        private double overtakingCost;
        private double largestCost;

        private RandomCalls(long seed) {
            this.random = new Random(seed);
        }

        private void run() {
            for (int call = 0; call < CALLS; call++) {
                now += random.nextInt(4) == 0 ? random.nextInt(200) * MILLI : random.nextInt(10) * MILLI;
                switch (random.nextInt(8)) {
                    case 0 -> randomId(waiting).ifPresent(this::withdraw);
                    case 1, 2, 3 -> randomId(running).ifPresent(this::end);
                    default -> offer();
                }
                poll();
            }
        }

        private Optional<Long> randomId(Map<Long, AdmissionRequest> requests) {
            return requests.keySet().stream()
                    .skip(random.nextInt(requests.size() + 1))
                    .findFirst();
        }

        private void withdraw(long id) {
            queue.withdraw(id, now);
            waiting.remove(id);
            decided.add(id);
        }

        private void end(long id) {
            queue.end(id, now);
            running.remove(id);
        }

        private void offer() {
            long id = nextId++;
            Duration delay = Duration.ofMillis(random.nextInt(6_000));
            AdmissionRequest request = new AdmissionRequest(
                    random.nextInt(4),
                    Optional.of(AccountId.of("a" + random.nextInt(5))),
                    random.nextInt(3),
                    random.nextInt(random.nextInt(20) == 0 ? 20_000 : 2_000),
                    random.nextInt(2_000),
                    delay.minusMillis(random.nextInt(1_000)),
                    delay);
            waiting.put(id, request);
            AdmissionDecision decision = queue.offer(id, request, now);
            if (!(decision instanceof Queued)) {
                onOutcome(new Outcome(id, decision));
            }
        }

        private void poll() {
            queue.poll(now).forEach(this::onOutcome);
            assertThat(queue.size()).isEqualTo(waiting.size()).isLessThanOrEqualTo(AdmissionQueue.MAXIMUM_WAITING);
            boolean limited = running.size() == SLOTS
                    || nextFreeAt - PromptPacer.BURST.toNanos() > now
                    || waiting.values().stream().anyMatch(request -> tokens(request) > MEMORY_TOKENS - usedTokens());
            assertThat(waiting.isEmpty() || limited).isTrue();
            assertThat(waiting.isEmpty() || queue.nextEventAt().isPresent()).isTrue();
        }

        private void onOutcome(Outcome outcome) {
            assertThat(decided.add(outcome.id())).isTrue();
            AdmissionRequest request = waiting.remove(outcome.id());
            if (outcome.decision() instanceof Rejected rejected) {
                assertThat(rejected.retryAfter()).isBetween(RetryTimes.SHORTEST, RetryTimes.LONGEST);
                return;
            }
            assertThat(nextFreeAt - PromptPacer.BURST.toNanos()).isLessThanOrEqualTo(now);
            double cost = request.promptTokens() / TOKENS_PER_MILLI;
            nextFreeAt = Math.max(now, nextFreeAt) + cost * MILLI / PromptPacer.READING_FRACTION - 1;
            running.put(outcome.id(), request);
            assertThat(running.size()).isLessThanOrEqualTo(SLOTS);
            assertThat(running.size() == 1 || usedTokens() <= MEMORY_TOKENS).isTrue();
            admittedCost += cost;
            largestCost = Math.max(largestCost, cost);
            if (waiting.values().stream().anyMatch(other -> other.urgency() < request.urgency())) {
                overtakingCost += cost;
            }
            assertThat(overtakingCost)
                    .isLessThanOrEqualTo(PriorityOrder.RESERVED_FRACTION * admittedCost + largestCost);
        }

        private long usedTokens() {
            return running.values().stream().mapToLong(RandomCalls::tokens).sum();
        }

        private static long tokens(AdmissionRequest request) {
            return request.promptTokens() + request.outputTokens();
        }
    }
}
