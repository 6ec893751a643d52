package org.geraniumreach.benchmarks.trial;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.serving.queue.ConcurrencyLimit;
import org.geraniumreach.serving.queue.QueuedRequest;
import org.geraniumreach.serving.queue.RequestQueue;
import org.geraniumreach.serving.residency.AdapterLoadCommand;
import org.geraniumreach.serving.residency.AdapterRequestResult;
import org.geraniumreach.serving.residency.FleetLoads;
import org.geraniumreach.serving.residency.Pin;
import org.geraniumreach.serving.residency.Residency;
import org.geraniumreach.serving.routing.TargetStatus;

/** Simulates a companion and its engine; confined to the trial's thread. */
final class CompanionModel {

    private static final int PRIORITY = 5;

    private final TargetId target;
    private final Workload workload;
    private final EventLoop loop;
    private final WeightStore store;
    private final TrialMetrics metrics;
    private final EngineModel engine;
    private final FleetLoads fleetLoads;
    private final Residency residency;
    private final RequestQueue<TrialRequest> queue;
    private final Map<AttemptId, TrialRequest> waitingRequests = new HashMap<>();
    private Consumer<TrialRequest> endListener = request -> {};
    private Consumer<TrialRequest> acceptanceListener = request -> {};
    private Runnable statusChangeListener = () -> {};
    private long sequence;

    CompanionModel(
            TargetId target,
            Workload workload,
            Policies policies,
            EventLoop loop,
            WeightStore store,
            TrialMetrics metrics) {
        this.target = target;
        this.workload = workload;
        this.loop = loop;
        this.store = store;
        this.metrics = metrics;
        this.engine = new EngineModel(loop, metrics);
        this.fleetLoads = FleetLoads.create(loop, Duration.ofSeconds(2));
        this.residency = Residency.create(policies.residency().withSlots(workload.slots()), fleetLoads, loop);
        this.queue = RequestQueue.create(
                policies.queue(), policies.queueWeights(), ConcurrencyLimit.fixed(workload.concurrency()), loop);
        residency.synchronise(1, Set.of(), 0);
    }

    void setListeners(Consumer<TrialRequest> onAccepted, Consumer<TrialRequest> onEnded, Runnable onStatusChanged) {
        acceptanceListener = onAccepted;
        endListener = onEnded;
        statusChangeListener = onStatusChanged;
    }

    void receive(TrialRequest request) {
        request.queuedAtNanos = loop.nanos();
        AdapterRequestResult result =
                residency.request(request.attempt, request.accountId, request.adapter, request.tokens());
        request.stalled = result.state() == AdapterRequestResult.State.WAITING;
        waitingRequests.put(request.attempt, request);
        queue.offer(new QueuedRequest<>(
                request.attempt,
                request.accountId,
                Optional.of(request.adapter),
                request.tokens(),
                PRIORITY,
                request.createdAtNanos + (long) (Workload.DEADLINE_SECONDS * 1e9),
                request));
        acceptanceListener.accept(request);
        startRequestsAndLoads();
    }

    void tick() {
        for (QueuedRequest<TrialRequest> expired : queue.removeExpired()) {
            residency.cancel(expired.attempt());
            waitingRequests.remove(expired.attempt());
            metrics.onExpired(expired.payload(), loop.nanos());
            endListener.accept(expired.payload());
        }
        startRequestsAndLoads();
    }

    private void startRequestsAndLoads() {
        for (Optional<QueuedRequest<TrialRequest>> next = queue.take(residency::isReady);
                next.isPresent();
                next = queue.take(residency::isReady)) {
            start(next.get().payload());
        }
        List<AdapterLoadCommand> commands = residency.startLoads();
        commands.forEach(command -> store.load(() -> onLoaded(command)));
        if (commands.stream().anyMatch(command -> command.evicted().isPresent())) {
            statusChangeListener.run();
        }
    }

    private void start(TrialRequest request) {
        Pin pin = residency.pin(request.attempt, request.adapter).orElseThrow();
        waitingRequests.remove(request.attempt);
        engine.start(request, ended -> {
            pin.release();
            queue.onFinished(ended.attempt, ended.tokens(), ended.generatedTokens);
            metrics.onEnded(ended, loop.nanos());
            endListener.accept(ended);
            startRequestsAndLoads();
        });
    }

    private void onLoaded(AdapterLoadCommand command) {
        residency.onLoaded(command);
        metrics.onLoaded(loop.nanos());
        for (TrialRequest request : new ArrayList<>(waitingRequests.values())) {
            if (request.adapter.equals(command.adapter()) && request.readyAtNanos < 0) {
                request.readyAtNanos = loop.nanos();
            }
        }
        startRequestsAndLoads();
        statusChangeListener.run();
    }

    TargetStatus status() {
        return new TargetStatus(
                target,
                ++sequence,
                1,
                queue.runningCount(),
                queue.waitingCount(),
                queue.waitingTokens(),
                queue.concurrencyLimit(),
                workload.slots(),
                true,
                residency.resident(),
                Set.of(),
                residency.loading(),
                false,
                0);
    }

    void reportLoadsTo(Collection<CompanionModel> companions) {
        int loadsInProgress = residency.loadsInProgress();
        int waitingLoads = residency.waitingLoads();
        long waitingWorkNanos = residency.waitingWorkNanos();
        for (CompanionModel other : companions) {
            if (other != this) {
                other.fleetLoads.onReport(target, loadsInProgress, waitingLoads, waitingWorkNanos);
            }
        }
    }
}
