package org.geraniumreach.benchmarks.jmh;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.serving.queue.ConcurrencyLimit;
import org.geraniumreach.serving.queue.QueuePolicy;
import org.geraniumreach.serving.queue.QueueWeights;
import org.geraniumreach.serving.queue.QueuedRequest;
import org.geraniumreach.serving.queue.RequestQueue;
import org.geraniumreach.serving.residency.AdapterLoadCommand;
import org.geraniumreach.serving.residency.FleetLoads;
import org.geraniumreach.serving.residency.Pin;
import org.geraniumreach.serving.residency.Residency;
import org.geraniumreach.serving.residency.ResidencySettings;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures a companion's request queue and adapter residency while other requests wait; one thread. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class CompanionBenchmark {

    private static final int PRIORITY = 5;
    private static final int TOKENS_PER_REQUEST = 300;

    /** The number of waiting requests. */
    @Param({"16", "128", "1024"})
    int waiting;

    /** The number of client accounts that the waiting requests are spread over. */
    @Param({"5", "50"})
    int accounts;

    private final AdapterReference[] adapters = Fleets.createAdapters(FleetSize.SLOTS_PER_TARGET);
    private RequestQueue<Integer> queue;
    private Residency residency;
    private Residency coldResidency;
    private int nextNumber;

    /** Fills the queue and makes all adapters resident. */
    @Setup
    public void setUp() {
        queue = RequestQueue.create(
                QueuePolicy.FAIR, QueueWeights.fullBatches(), ConcurrencyLimit.fixed(4), MonotonicClock.system());
        residency = createResidency();
        residency.synchronise(1, Set.of(adapters), 0);
        coldResidency = createResidency();
        coldResidency.synchronise(1, Set.of(), 0);
        for (int index = 0; index < waiting; index++) {
            queue.offer(nextRequest());
            coldResidency.request(
                    nextAttempt(),
                    nextAccount(),
                    AdapterReference.of("cold-" + index % (waiting / 2), "1"),
                    TOKENS_PER_REQUEST);
        }
    }

    private static Residency createResidency() {
        MonotonicClock clock = MonotonicClock.system();
        FleetLoads fleet = FleetLoads.create(clock, Duration.ofDays(1));
        fleet.onReport(TargetId.of("other"), Integer.MAX_VALUE / 2, 0, 0);
        return Residency.create(ResidencySettings.standard(FleetSize.SLOTS_PER_TARGET), fleet, clock);
    }

    private AttemptId nextAttempt() {
        return AttemptId.of("attempt-" + nextNumber++);
    }

    private AccountId nextAccount() {
        return AccountId.of("account-" + nextNumber % accounts);
    }

    private QueuedRequest<Integer> nextRequest() {
        return new QueuedRequest<>(
                nextAttempt(),
                nextAccount(),
                Optional.of(adapters[nextNumber % adapters.length]),
                TOKENS_PER_REQUEST,
                PRIORITY,
                Long.MAX_VALUE,
                nextNumber);
    }

    /**
     * Enqueues a request, then takes the next one from the queue, pins its adapter and finishes it.
     *
     * @return the finished request
     */
    @Benchmark
    public QueuedRequest<Integer> throughQueueAndResidency() {
        QueuedRequest<Integer> arriving = nextRequest();
        residency.request(
                arriving.attempt(), arriving.account(), arriving.adapter().orElseThrow(), TOKENS_PER_REQUEST);
        queue.offer(arriving);
        QueuedRequest<Integer> running = queue.take(residency::isReady).orElseThrow();
        Pin pin = residency
                .pin(running.attempt(), running.adapter().orElseThrow())
                .orElseThrow();
        pin.release();
        queue.onFinished(running.attempt(), TOKENS_PER_REQUEST, 1);
        return running;
    }

    /**
     * Looks for loads to start while the fleet is at its load limit, with half as many cold adapters as waiting requests.
     *
     * @return an empty list
     */
    @Benchmark
    public List<AdapterLoadCommand> ordersAmongColdAdapters() {
        return coldResidency.startLoads();
    }
}
