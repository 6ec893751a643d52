package org.geraniumreach.benchmarks.trial;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;

import org.geraniumreach.model.AdapterReference;

/**
 * Simulates an engine with continuous batching. Each step generates one token for every request in the batch; its
 * duration grows with the number of requests and of adapters in the batch. Confined to the trial's thread.
 */
final class EngineModel {

    private static final double BASE_STEP_SECONDS = 0.008;
    private static final double STEP_SECONDS_PER_REQUEST = 0.000_05;
    private static final double STEP_SECONDS_PER_ADAPTER = 0.000_3;
    private static final double PREFILL_SECONDS_PER_TOKEN = 0.000_03;

    private final EventLoop loop;
    private final TrialMetrics metrics;
    private final PriorityQueue<Member> batch = new PriorityQueue<>(Comparator.comparingDouble(Member::endsAtStep));
    private final Map<AdapterReference, Integer> requestsByAdapter = new HashMap<>();
    private double completedSteps;
    private long lastAdvanceNanos;
    private long scheduleVersion;

    EngineModel(EventLoop loop, TrialMetrics metrics) {
        this.loop = loop;
        this.metrics = metrics;
    }

    private record Member(TrialRequest request, double endsAtStep, Consumer<TrialRequest> onEnded) {}

    void start(TrialRequest request, Consumer<TrialRequest> onEnded) {
        advance();
        double steps = request.generatedTokens + request.promptTokens * PREFILL_SECONDS_PER_TOKEN / BASE_STEP_SECONDS;
        batch.add(new Member(request, completedSteps + steps, onEnded));
        requestsByAdapter.merge(request.adapter, 1, Integer::sum);
        scheduleNextEnd();
    }

    private double stepSeconds() {
        return BASE_STEP_SECONDS
                + STEP_SECONDS_PER_REQUEST * batch.size()
                + STEP_SECONDS_PER_ADAPTER * requestsByAdapter.size();
    }

    private void advance() {
        double seconds = (loop.nanos() - lastAdvanceNanos) / 1e9;
        lastAdvanceNanos = loop.nanos();
        if (batch.isEmpty()) {
            return;
        }
        double steps = seconds / stepSeconds();
        completedSteps += steps;
        metrics.onEngineRan(seconds, batch.size(), requestsByAdapter.size(), steps * batch.size());
    }

    private void scheduleNextEnd() {
        long scheduled = ++scheduleVersion;
        if (!batch.isEmpty()) {
            double steps = Math.max(0, batch.peek().endsAtStep - completedSteps);
            loop.scheduleAfter(steps * stepSeconds(), () -> finishFirst(scheduled));
        }
    }

    private void finishFirst(long scheduled) {
        if (scheduled != scheduleVersion) {
            return;
        }
        advance();
        Member first = batch.poll();
        requestsByAdapter.computeIfPresent(first.request.adapter, (adapter, count) -> count == 1 ? null : count - 1);
        scheduleNextEnd();
        first.onEnded.accept(first.request);
    }
}
