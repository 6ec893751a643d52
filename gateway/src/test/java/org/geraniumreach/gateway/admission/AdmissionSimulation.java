package org.geraniumreach.gateway.admission;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.IntFunction;
import java.util.function.IntPredicate;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;

import org.geraniumreach.gateway.admission.AdmissionDecision.Admitted;
import org.geraniumreach.gateway.admission.AdmissionDecision.Queued;
import org.geraniumreach.gateway.admission.AdmissionDecision.Rejected;
import org.geraniumreach.model.AccountId;

/**
 * Callers of sixteen accounts and three urgencies at one target, in virtual time.
 *
 * <p>The target reads one prompt after the other and then generates one token per step for all running requests.
 */
final class AdmissionSimulation {

    static final int ACCOUNTS = 16;
    static final int URGENCIES = 3;
    static final int SLOTS = 64;
    static final long MEMORY_TOKENS = 126_089;

    private static final double TOKENS_PER_MILLI = 22.1;
    private static final double CAPACITY = TOKENS_PER_MILLI * PromptPacer.READING_FRACTION;
    private static final double STEP_MILLIS = 6.8;
    private static final int STEPS_TO_FIRST_EVENT = 4;
    private static final int OUTPUT_TOKENS = 150;
    private static final double MEAN_PROMPT_TOKENS = 1_460;
    private static final double PROMPT_DEVIATION = 0.8;
    private static final double LONGEST_PROMPT_TOKENS =
            Double.parseDouble(System.getenv().getOrDefault("CAP", "5840"));
    private static final long[] OBJECTIVE_MILLIS = {800, 800, 2_000};
    private static final long ARRIVAL_MILLIS = 60_000;
    private static final long END_MILLIS = ARRIVAL_MILLIS + 30_000;
    private static final long BURST_PERIOD_MILLIS = 8_000;
    private static final long BURST_MILLIS = 2_000;
    private static final double MOST_URGENT_BURST = 1.7;
    private static final double LEAST_URGENT_BURST = 2.4;
    private static final long LONGEST_RETRYING_MILLIS = 5_000;
    private static final long REPEAT_MILLIS = 25;
    private static final long MILLI = 1_000_000;

    enum Retry {
        NEVER,
        AT_ONCE,
        AFTER_THE_TIME
    }

    /** The demand is a fraction of the capacity; an account without urgency asks for all, with bursts. */
    record Workload(
            long seed,
            IntToDoubleFunction demand,
            IntToDoubleFunction weight,
            IntFunction<OptionalInt> urgency,
            IntFunction<Retry> retry,
            double hintFactor) {

        Workload(long seed) {
            this(seed, account -> 0, account -> 1, account -> OptionalInt.empty(), account -> Retry.NEVER, 1);
        }

        Workload withDemand(IntToDoubleFunction newDemand) {
            return new Workload(seed, newDemand, weight, urgency, retry, hintFactor);
        }

        Workload withWeight(IntToDoubleFunction newWeight) {
            return new Workload(seed, demand, newWeight, urgency, retry, hintFactor);
        }

        Workload withUrgency(IntFunction<Integer> newUrgency) {
            return new Workload(
                    seed, demand, weight, account -> OptionalInt.of(newUrgency.apply(account)), retry, hintFactor);
        }

        Workload withRetry(IntFunction<Retry> newRetry) {
            return new Workload(seed, demand, weight, urgency, newRetry, hintFactor);
        }

        Workload withHintFactor(double newHintFactor) {
            return new Workload(seed, demand, weight, urgency, retry, newHintFactor);
        }

        AdmissionSimulation run() {
            return new AdmissionSimulation(this).run();
        }
    }

    private record Ask(long id, int account, int urgency, long promptTokens, long firstAskedAt, long askedAt) {

        double prefillMillis() {
            return promptTokens / TOKENS_PER_MILLI;
        }

        double firstEventDelay() {
            return prefillMillis() + STEPS_TO_FIRST_EVENT * STEP_MILLIS;
        }
    }

    private record Event(long at, Runnable action) {}

    private final Workload workload;
    private final Random random;
    private final AdmissionQueue queue = new AdmissionQueue(
            new AdmissionSettings(
                    OptionalInt.of(SLOTS), OptionalLong.of(MEMORY_TOKENS), Duration.ofMillis(ARRIVAL_MILLIS)),
            () -> TOKENS_PER_MILLI);
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::at));
    private final Map<Long, Ask> waiting = new HashMap<>();
    private final int[][] asked = new int[ACCOUNTS][URGENCIES];
    private final int[][] inTime = new int[ACCOUNTS][URGENCIES];
    private final double[] prefillMillis = new double[URGENCIES];
    private long nextId;
    private double targetFreeAt;
    private int running;
    private long statedTokens;
    private int largestQueue;
    private int largestRunning;
    private long largestStatedTokens;

    private AdmissionSimulation(Workload workload) {
        this.workload = workload;
        this.random = new Random(workload.seed());
    }

    private AdmissionSimulation run() {
        for (long now = 0; now < END_MILLIS; now++) {
            if (now < ARRIVAL_MILLIS) {
                addArrivals(now);
            }
            while (!events.isEmpty() && events.peek().at() <= now) {
                events.remove().action().run();
            }
            if (queue.nextEventAt().orElse(Long.MAX_VALUE) <= now * MILLI) {
                poll(now);
            }
        }
        return this;
    }

    private void addArrivals(long now) {
        for (int account = 0; account < ACCOUNTS; account++) {
            double perMilli = workload.demand().applyAsDouble(account) * CAPACITY / MEAN_PROMPT_TOKENS;
            OptionalInt only = workload.urgency().apply(account);
            for (int urgency = 0; urgency < URGENCIES; urgency++) {
                double part = only.isPresent() ? (only.getAsInt() == urgency ? 1 : 0) : classPart(urgency, now);
                if (random.nextDouble() < perMilli * part) {
                    asked[account][urgency]++;
                    offer(new Ask(nextId++, account, urgency, promptTokens(), now, now));
                }
            }
        }
    }

    private static double classPart(int urgency, long now) {
        double mean =
                URGENCIES + (MOST_URGENT_BURST + LEAST_URGENT_BURST - 2) * BURST_MILLIS / (double) BURST_PERIOD_MILLIS;
        long burst = now % BURST_PERIOD_MILLIS / BURST_MILLIS;
        if (urgency == 0 && burst == 1) {
            return MOST_URGENT_BURST / mean;
        }
        return (urgency == 2 && burst == 2 ? LEAST_URGENT_BURST : 1) / mean;
    }

    private long promptTokens() {
        double logMean = Math.log(MEAN_PROMPT_TOKENS) - PROMPT_DEVIATION * PROMPT_DEVIATION / 2;
        double tokens = Math.exp(logMean + PROMPT_DEVIATION * random.nextGaussian());
        return (long) Math.min(LONGEST_PROMPT_TOKENS, tokens);
    }

    private void offer(Ask ask) {
        long now = ask.askedAt();
        double delay = Math.max(0, OBJECTIVE_MILLIS[ask.urgency()] - ask.firstEventDelay());
        AdmissionRequest request = new AdmissionRequest(
                ask.urgency(),
                Optional.of(AccountId.of("a" + ask.account())),
                workload.weight().applyAsDouble(ask.account()),
                ask.promptTokens(),
                statedOutput(),
                Duration.ofMillis(OBJECTIVE_MILLIS[ask.urgency()]),
                Duration.ofMillis((long) delay));
        waiting.put(ask.id(), ask);
        decide(ask, queue.offer(ask.id(), request, now * MILLI), now);
        poll(now);
    }

    private long statedOutput() {
        return (long) (OUTPUT_TOKENS * workload.hintFactor());
    }

    private void poll(long now) {
        for (Outcome outcome : queue.poll(now * MILLI)) {
            decide(waiting.get(outcome.id()), outcome.decision(), now);
        }
        largestQueue = Math.max(largestQueue, queue.size());
    }

    private void decide(Ask ask, AdmissionDecision decision, long now) {
        if (decision instanceof Queued) {
            return;
        }
        waiting.remove(ask.id());
        if (decision instanceof Admitted) {
            start(ask, now);
        } else if (decision instanceof Rejected rejected) {
            repeat(ask, rejected, now);
        }
    }

    private void start(Ask ask, long now) {
        targetFreeAt = Math.max(targetFreeAt, now) + ask.prefillMillis();
        prefillMillis[ask.urgency()] += ask.prefillMillis();
        double firstEventAt = targetFreeAt + STEPS_TO_FIRST_EVENT * STEP_MILLIS;
        if (firstEventAt - ask.askedAt() <= OBJECTIVE_MILLIS[ask.urgency()]) {
            inTime[ask.account()][ask.urgency()]++;
        }
        running++;
        statedTokens += ask.promptTokens() + statedOutput();
        largestRunning = Math.max(largestRunning, running);
        largestStatedTokens = Math.max(largestStatedTokens, statedTokens);
        long endAt = (long) (targetFreeAt + OUTPUT_TOKENS * STEP_MILLIS) + 1;
        events.add(new Event(endAt, () -> end(ask, endAt)));
    }

    private void end(Ask ask, long now) {
        running--;
        statedTokens -= ask.promptTokens() + statedOutput();
        queue.end(ask.id(), now * MILLI);
    }

    private void repeat(Ask ask, Rejected rejected, long now) {
        Retry retry = workload.retry().apply(ask.account());
        long delay =
                retry == Retry.AT_ONCE ? REPEAT_MILLIS : rejected.retryAfter().toMillis() + 1;
        long at = now + delay;
        if (retry != Retry.NEVER && at - ask.firstAskedAt() <= LONGEST_RETRYING_MILLIS) {
            Ask next = new Ask(nextId++, ask.account(), ask.urgency(), ask.promptTokens(), ask.firstAskedAt(), at);
            events.add(new Event(at, () -> offer(next)));
        }
    }

    double inTimeFraction(int urgency) {
        int askedInClass = IntStream.range(0, ACCOUNTS)
                .map(account -> asked[account][urgency])
                .sum();
        int inTimeInClass = IntStream.range(0, ACCOUNTS)
                .map(account -> inTime[account][urgency])
                .sum();
        return inTimeInClass / (double) askedInClass;
    }

    double inTimeFractionOfAccounts(IntPredicate selected) {
        int askedOfSelected = IntStream.range(0, ACCOUNTS)
                .filter(selected)
                .map(this::askedOfAccount)
                .sum();
        return servedOfAccounts(selected) / (double) askedOfSelected;
    }

    int askedOfAccount(int account) {
        return IntStream.of(asked[account]).sum();
    }

    int servedOfAccounts(IntPredicate selected) {
        return IntStream.range(0, ACCOUNTS)
                .filter(selected)
                .map(account -> IntStream.of(inTime[account]).sum())
                .sum();
    }

    double prefillFraction(int urgency) {
        return prefillMillis[urgency] / (prefillMillis[0] + prefillMillis[1] + prefillMillis[2]);
    }

    int undecided() {
        return waiting.size();
    }

    int largestQueue() {
        return largestQueue;
    }

    int largestRunning() {
        return largestRunning;
    }

    long largestStatedTokens() {
        return largestStatedTokens;
    }
}
