package org.geraniumreach.benchmarks.trial;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;

import org.geraniumreach.model.AdapterReference;

/**
 * An engine that batches continuously: each step gives every request in the batch one token, and takes longer with each
 * request and each adapter in the batch. Confined to the trial's thread.
 */
final class EngineModel {

    private static final double STEP_SECONDS = 0.008;
    private static final double REQUEST_SECONDS = 0.000_05;
    private static final double ADAPTER_SECONDS = 0.000_3;
    private static final double PREFILL_SECONDS = 0.000_03;

    private final EventLoop loop;
    private final TrialMetrics metrics;
    private final PriorityQueue<Member> batch = new PriorityQueue<>(Comparator.comparingDouble(Member::endsAt));
    private final Map<AdapterReference, Integer> adapters = new HashMap<>();
    private double progress;
    private long advancedAt;
    private long version;

    EngineModel(EventLoop loop, TrialMetrics metrics) {
        this.loop = loop;
        this.metrics = metrics;
    }

    private record Member(TrialRequest request, double endsAt, Consumer<TrialRequest> ended) {}

    void start(TrialRequest request, Consumer<TrialRequest> ended) {
        advance();
        double steps = request.generatedTokens + request.promptTokens * PREFILL_SECONDS / STEP_SECONDS;
        batch.add(new Member(request, progress + steps, ended));
        adapters.merge(request.adapter, 1, Integer::sum);
        schedule();
    }

    private double stepSeconds() {
        return STEP_SECONDS + REQUEST_SECONDS * batch.size() + ADAPTER_SECONDS * adapters.size();
    }

    private void advance() {
        double seconds = (loop.nanos() - advancedAt) / 1e9;
        advancedAt = loop.nanos();
        if (batch.isEmpty()) {
            return;
        }
        double steps = seconds / stepSeconds();
        progress += steps;
        metrics.ran(seconds, batch.size(), adapters.size(), steps * batch.size());
    }

    private void schedule() {
        long scheduled = ++version;
        if (!batch.isEmpty()) {
            double steps = Math.max(0, batch.peek().endsAt - progress);
            loop.after(steps * stepSeconds(), () -> endFirst(scheduled));
        }
    }

    private void endFirst(long scheduled) {
        if (scheduled != version) {
            return;
        }
        advance();
        Member first = batch.poll();
        adapters.computeIfPresent(first.request.adapter, (adapter, count) -> count == 1 ? null : count - 1);
        schedule();
        first.ended.accept(first.request);
    }
}
