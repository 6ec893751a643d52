package org.geraniumreach.standins.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.standins.engine.EngineStream.Outcome;

/**
 * A model engine's batch, slots and streams, without time or sockets.
 *
 * <p>Invariant: a stream joins the batch only while its adapter is resident; an attempt's name is taken once; every stream
 * that is over is recorded once. Safe for use by several threads, under one lock.
 */
final class Engine {

    private static final int CONFLICT = 409;
    private static final int PRECONDITION_FAILED = 412;
    private static final int MAXIMUM_RECORDS = 200_000;

    private final EngineSettings settings;
    private final PrefixCache prefixes;
    private final Set<AdapterReference> resident = new TreeSet<>();
    private final Set<AdapterReference> loading = new TreeSet<>();
    private final PriorityQueue<EngineStream> waiting = new PriorityQueue<>();
    private final List<EngineStream> batch = new ArrayList<>();
    private final Map<AttemptId, EngineStream> streams = new HashMap<>();
    private final Deque<EngineStream> finished = new ArrayDeque<>();
    private final Deque<StreamRecord> records = new ArrayDeque<>();
    private long incarnation = System.currentTimeMillis();
    private long highestFence;
    private long arrivals;
    private long lastRecordNumber;
    private EngineStatistics statistics = EngineStatistics.NONE;

    Engine(EngineSettings settings, Consumer<PrefixCache.CacheEvent> events) {
        this.settings = settings;
        this.prefixes = new PrefixCache(settings.prefixCacheTokens(), events);
    }

    synchronized EngineStream generate(GenerationOrder order, AdapterReference served) throws Refusal {
        if (streams.containsKey(order.attempt())) {
            throw new Refusal(CONFLICT, "known", true, "attempt known: " + order.attempt());
        }
        checkFence(order.fence());
        if (!resident.contains(order.adapter())) {
            throw new Refusal(CONFLICT, "not-resident", false, "not resident: " + order.adapter());
        }
        EngineStream stream = new EngineStream(order, served, arrivals++);
        streams.put(order.attempt(), stream);
        waiting.add(stream);
        notifyAll();
        return stream;
    }

    synchronized Optional<EngineStream> find(AttemptId attempt) {
        return Optional.ofNullable(streams.get(attempt));
    }

    synchronized void cancel(AttemptId attempt) {
        EngineStream stream = streams.get(attempt);
        if (stream == null || !stream.isRunning()) {
            return;
        }
        waiting.remove(stream);
        batch.remove(stream);
        finishStream(stream, Outcome.CANCELLED);
    }

    /**
     * Begins a load.
     *
     * @param adapter the adapter
     * @param fence the order's fence
     * @return false if the adapter is resident already
     * @throws Refusal if the order is fenced off, or no slot is free
     */
    synchronized boolean beginLoad(AdapterReference adapter, long fence) throws Refusal {
        checkFence(fence);
        if (resident.contains(adapter)) {
            return false;
        }
        if (!loading.contains(adapter) && resident.size() + loading.size() >= settings.slots()) {
            throw new Refusal(CONFLICT, "no-free-slot", false, "no free slot for " + adapter);
        }
        loading.add(adapter);
        return true;
    }

    synchronized void endLoad(AdapterReference adapter, long loadIncarnation, boolean arrived) {
        if (loadIncarnation == incarnation && loading.remove(adapter) && arrived) {
            resident.add(adapter);
        }
    }

    /**
     * Unloads an adapter. An engine does as it is told: streams on the adapter break off, and are counted.
     *
     * @param adapter the adapter
     * @param fence the order's fence
     * @throws Refusal if the order is fenced off
     */
    synchronized void unload(AdapterReference adapter, long fence) throws Refusal {
        checkFence(fence);
        if (!resident.remove(adapter)) {
            return;
        }
        List<EngineStream> broken = new ArrayList<>(batch);
        broken.addAll(waiting);
        broken.removeIf(stream -> !stream.order().adapter().equals(adapter));
        batch.removeAll(broken);
        waiting.removeAll(broken);
        broken.forEach(stream -> finishStream(stream, Outcome.UNLOADED));
        statistics = statistics.withUnloadedWhileServing(broken.size());
    }

    private void checkFence(long fence) throws Refusal {
        if (settings.checksFence() && fence < highestFence) {
            throw new Refusal(PRECONDITION_FAILED, "fenced", false, "fence " + fence + " below " + highestFence);
        }
        highestFence = Math.max(highestFence, fence);
    }

    synchronized void restart() {
        List<EngineStream> broken = new ArrayList<>(batch);
        broken.addAll(waiting);
        broken.forEach(stream -> finishStream(stream, Outcome.RESTARTED));
        batch.clear();
        waiting.clear();
        streams.clear();
        finished.clear();
        resident.clear();
        loading.clear();
        prefixes.clear();
        highestFence = 0;
        incarnation = Math.max(incarnation + 1, System.currentTimeMillis());
    }

    /**
     * Begins a step: lets waiting streams join, and waits if there are none.
     *
     * @return the time that the step takes, in microseconds
     * @throws InterruptedException if the engine is stopped
     */
    synchronized double beginStep() throws InterruptedException {
        while (batch.isEmpty() && waiting.isEmpty()) {
            wait();
        }
        double micros = settings.stepMicros();
        while (batch.size() < settings.maximumBatch() && !waiting.isEmpty()) {
            micros += join(waiting.poll());
        }
        return micros + batch.size() * settings.streamMicros() + distinctAdapters() * settings.adapterMicros();
    }

    private double join(EngineStream stream) {
        int cached =
                prefixes.lookUpAndStore(stream.order().adapter(), stream.order().prompt());
        int fresh = Math.max(0, stream.promptTokens() - cached);
        stream.join(cached);
        batch.add(stream);
        return fresh * settings.prefillMicros() + cached * settings.cachedPrefillMicros();
    }

    /**
     * Ends a step: each stream in the batch has one more token.
     *
     * @param micros the time that it took
     * @return the streams that have a token more
     */
    synchronized List<EngineStream> endStep(double micros) {
        List<EngineStream> stepped = List.copyOf(batch);
        int adapters = distinctAdapters();
        statistics = statistics.withStep(stepped.size(), adapters, micros);
        for (EngineStream stream : stepped) {
            if (stream.step(stepped.size(), adapters)) {
                batch.remove(stream);
                finishStream(stream, Outcome.ENDED);
            }
        }
        removeExpiredStreams();
        return stepped;
    }

    private int distinctAdapters() {
        return (int) batch.stream()
                .map(stream -> stream.order().adapter())
                .distinct()
                .count();
    }

    private void finishStream(EngineStream stream, Outcome outcome) {
        stream.end(outcome);
        finished.add(stream);
        lastRecordNumber++;
        records.add(stream.toRecord(lastRecordNumber));
        if (records.size() > MAXIMUM_RECORDS) {
            records.poll();
        }
    }

    private void removeExpiredStreams() {
        long oldest = System.currentTimeMillis() - settings.keepFinishedMillis();
        while (!finished.isEmpty() && finished.peek().endMillis() < oldest) {
            streams.remove(finished.poll().order().attempt());
        }
    }

    synchronized long incarnation() {
        return incarnation;
    }

    synchronized List<AdapterReference> resident() {
        return List.copyOf(resident);
    }

    synchronized List<AttemptId> attempts() {
        return List.copyOf(streams.keySet());
    }

    synchronized EngineLoad load() {
        return new EngineLoad(batch.size(), waiting.size());
    }

    synchronized EngineStatistics statistics() {
        return statistics;
    }

    synchronized List<StreamRecord> records(long after, int limit) {
        return records.stream()
                .filter(ended -> ended.number() > after)
                .limit(limit)
                .toList();
    }

    /**
     * How much an engine has to do.
     *
     * @param running streams in the batch
     * @param waiting streams that wait for the batch
     */
    record EngineLoad(int running, int waiting) {}
}
