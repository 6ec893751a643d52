package org.geraniumreach.standins.load;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Phaser;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;

import org.geraniumreach.standins.Timers;
import org.geraniumreach.standins.load.LoadSettings.AccountLoad;

/**
 * An open-loop load run: sends each request when it is due, regardless of outstanding answers.
 *
 * <p>Latency is measured from when a request was due, so a load tool that falls behind shows up as latency. Safe for
 * use by several threads.
 */
public final class LoadRun {

    private static final int THREADS = 4;
    private static final int MAXIMUM_BOOKING_ATTEMPTS = 8;
    private static final long BOOKING_RETRY_DELAY_MILLIS = 400;

    private final LoadSettings settings;
    private final HttpRequestFactory requestFactory;
    private final ExecutorService executor = Executors.newFixedThreadPool(THREADS);
    private final ScheduledExecutorService timer = Timers.create();
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .executor(executor)
            .build();
    private final Map<String, AccountTally> tallies = new LinkedHashMap<>();
    private final Map<String, ReferenceTokenBucket> buckets = new LinkedHashMap<>();
    private final Map<String, Outcome> bookings = new ConcurrentHashMap<>();
    private final Map<String, SentGeneration> generations = new ConcurrentHashMap<>();
    private final Phaser outstanding = new Phaser(1);
    private final long startNanos = System.nanoTime();
    private long maximumSendDelayNanos;

    private LoadRun(LoadSettings settings) {
        this.settings = settings;
        this.requestFactory = new HttpRequestFactory(settings);
        for (AccountLoad account : settings.accounts()) {
            tallies.put(account.name(), new AccountTally(account.name()));
            buckets.put(
                    account.name(),
                    new ReferenceTokenBucket(account.tokensPerSecond(), account.burstTokens(), startNanos));
        }
    }

    /**
     * Sends all requests, waits for their answers and checks them.
     *
     * @param settings the settings of the run, not null
     * @return the results, not null
     * @throws InterruptedException if the thread is interrupted
     * @throws IOException if the counters of an observed process cannot be read, or a directly called engine fails to
     *     load an adapter
     */
    public static LoadResult run(LoadSettings settings) throws InterruptedException, IOException {
        if (settings.mode() == LoadSettings.Mode.ENGINE) {
            new EngineWarmup().load(settings);
        }
        LoadRun run = new LoadRun(settings);
        try {
            return run.run();
        } finally {
            run.executor.shutdownNow();
            run.timer.shutdownNow();
        }
    }

    private LoadResult run() throws InterruptedException, IOException {
        SystemCounters before = SystemCounters.fetch(settings.observed());
        sendAll();
        List<String> faults = new ArrayList<>();
        try {
            int phase = outstanding.arrive();
            outstanding.awaitAdvanceInterruptibly(
                    phase, (long) (settings.drainSeconds() * 1000) + 1, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            faults.add((outstanding.getUnarrivedParties()) + " requests had no answer at the end");
        }
        double elapsed = (System.nanoTime() - startNanos) / (double) TimeUnit.SECONDS.toNanos(1);
        List<AccountResult> results = settings.accounts().stream()
                .map(account -> tallies.get(account.name())
                        .result(account, buckets.get(account.name()).admitted(), elapsed))
                .toList();
        results.forEach(result -> faults.addAll(AccountChecks.check(result)));
        LoadResult result = new LoadResult(
                settings.seed(),
                elapsed,
                maximumSendDelayNanos / 1e6,
                results,
                BatchStatistics.NONE,
                StallStatistics.NONE,
                faults);
        TargetRecordCheck recordCheck = new TargetRecordCheck(settings);
        recordCheck.check(bookings, generations);
        return result.withFaults(recordCheck.faults())
                .withBatches(recordCheck.batchStatistics())
                .withStalls(SystemCounters.fetch(settings.observed()).since(before));
    }

    private void sendAll() {
        PriorityQueue<RequestSource> sources =
                new PriorityQueue<>(Comparator.comparingLong(RequestSource::nextDueNanos));
        String run = Long.toString(System.currentTimeMillis(), Character.MAX_RADIX);
        for (AccountLoad account : settings.accounts()) {
            sources.add(new RequestSource(settings, account, false, run));
            sources.add(new RequestSource(settings, account, true, run));
        }
        long end = (long) (settings.seconds() * TimeUnit.SECONDS.toNanos(1));
        for (long number = 0; ; number++) {
            RequestSource source = sources.poll();
            if (source == null || source.nextDueNanos() > end) {
                return;
            }
            PlannedRequest request = source.next(number);
            sources.add(source);
            sleepUntil(startNanos + request.dueNanos());
            maximumSendDelayNanos =
                    Math.max(maximumSendDelayNanos, System.nanoTime() - startNanos - request.dueNanos());
            send(request);
        }
    }

    private static void sleepUntil(long dueNanos) {
        long remainingNanos = dueNanos - System.nanoTime();
        while (remainingNanos > 0) {
            LockSupport.parkNanos(remainingNanos);
            remainingNanos = dueNanos - System.nanoTime();
        }
    }

    private void send(PlannedRequest request) {
        outstanding.register();
        if (isMeasured(request)) {
            tallies.get(request.account().name()).recordSent(request.isBooking());
        }
        if (request.isBooking()) {
            book(request, MAXIMUM_BOOKING_ATTEMPTS, startNanos + request.dueNanos());
            return;
        }
        if (isMeasured(request)) {
            buckets.get(request.account().name())
                    .admitIfAvailable(request.reservedTokens(), request.usedTokens(), System.nanoTime());
        }
        long sentMillis = System.currentTimeMillis();
        exchange(request, startNanos + request.dueNanos(), outcome -> {
            generations.put(
                    request.expected().digest(),
                    new SentGeneration(request.account().name(), request.adapter(), sentMillis, outcome));
            complete(request, outcome);
        });
    }

    private boolean isMeasured(PlannedRequest request) {
        return request.dueNanos() >= settings.warmupSeconds() * TimeUnit.SECONDS.toNanos(1);
    }

    private void book(PlannedRequest request, int attemptsLeft, long dueNanos) {
        exchange(request, dueNanos, outcome -> {
            if (outcome.verdict() == Outcome.Verdict.FAILED && attemptsLeft > 1) {
                tallies.get(request.account().name()).recordRetry(outcome);
                timer.schedule(
                        () -> book(request, attemptsLeft - 1, dueNanos),
                        BOOKING_RETRY_DELAY_MILLIS,
                        TimeUnit.MILLISECONDS);
                return;
            }
            if (outcome.isServed()) {
                tallies.get(request.account().name()).recordBooking(System.nanoTime() - dueNanos);
            }
            if (outcome.isServed() && request.repeated()) {
                repeatBooking(request, outcome);
                return;
            }
            bookings.put(request.idempotencyKey(), outcome);
            complete(request, outcome);
        });
    }

    /** Repeats an answered booking, whose second answer must be identical to the first. */
    private void repeatBooking(PlannedRequest request, Outcome first) {
        exchange(request, System.nanoTime(), second -> {
            boolean differs = second.isServed() && !second.body().equals(first.body());
            Outcome outcome = differs
                    ? Outcome.wrong("booking " + request.idempotencyKey() + " has two answers: " + first.body()
                            + " and " + second.body())
                    : first;
            bookings.put(request.idempotencyKey(), outcome);
            complete(request, outcome);
        });
    }

    private void exchange(PlannedRequest request, long dueNanos, OutcomeListener listener) {
        AccountTally tally = tallies.get(request.account().name());
        boolean measured = isMeasured(request);
        AnswerReceiver receiver = new AnswerReceiver(
                request,
                settings.mode(),
                dueNanos,
                nanos -> {
                    if (measured) {
                        tally.recordFirstToken(nanos);
                    }
                },
                nanos -> {
                    if (measured) {
                        tally.recordBetweenTokens(nanos);
                    }
                });
        HttpResponse.BodyHandler<Void> handler = receiver::createBodySubscriber;
        client.sendAsync(requestFactory.create(request), handler).whenComplete((response, failure) -> {
            Outcome outcome = failure == null ? receiver.evaluate() : Outcome.failed(String.valueOf(failure));
            listener.onEnded(outcome);
        });
    }

    private void complete(PlannedRequest request, Outcome outcome) {
        if (isMeasured(request) || outcome.verdict() == Outcome.Verdict.WRONG) {
            tallies.get(request.account().name()).recordOutcome(outcome);
        }
        outstanding.arriveAndDeregister();
    }

    /** Receives the outcome of a request. */
    private interface OutcomeListener {
        void onEnded(Outcome outcome);
    }
}
