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
 * The state of a stand-in model engine: its batch, adapter slots and streams, without timing or sockets.
 *
 * <p>Invariant: a stream joins the batch only while its adapter is resident; an attempt identifies at most one stream;
 * every finished stream is recorded once. Safe for use by several threads, under one lock.
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
     * Reserves a slot for an adapter that is about to be loaded.
     *
     * @param adapter the adapter
     * @param fence the fencing token of the order
     * @return false if the adapter is already resident
     * @throws Refusal if the fencing token is outdated, or no slot is free
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
     * Unloads an adapter. Streams that use the adapter are aborted and counted.
     *
     * @param adapter the adapter
     * @param fence the fencing token of the order
     * @throws Refusal if the fencing token is outdated
     */
    synchronized void unload(AdapterReference adapter, long fence) throws Refusal {
        checkFence(fence);
        if (!resident.remove(adapter)) {
            return;
        }
        List<EngineStream> aborted = new ArrayList<>(batch);
        aborted.addAll(waiting);
        aborted.removeIf(stream -> !stream.order().adapter().equals(adapter));
        batch.removeAll(aborted);
        waiting.removeAll(aborted);
        aborted.forEach(stream -> finishStream(stream, Outcome.UNLOADED));
        statistics = statistics.withUnloadedWhileServing(aborted.size());
    }

    private void checkFence(long fence) throws Refusal {
        if (settings.checksFence() && fence < highestFence) {
            throw new Refusal(PRECONDITION_FAILED, "fenced", false, "fence " + fence + " below " + highestFence);
        }
        highestFence = Math.max(highestFence, fence);
    }

    synchronized void restart() {
        List<EngineStream> aborted = new ArrayList<>(batch);
        aborted.addAll(waiting);
        aborted.forEach(stream -> finishStream(stream, Outcome.RESTARTED));
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
     * Begins a step: moves waiting streams into the batch, and blocks while there are no streams.
     *
     * @return the duration of the step, in microseconds
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
        int uncached = Math.max(0, stream.promptTokens() - cached);
        stream.join(cached);
        batch.add(stream);
        return uncached * settings.prefillMicros() + cached * settings.cachedPrefillMicros();
    }

    /**
     * Ends a step: each stream in the batch has generated one more token.
     *
     * @param micros the duration of the step, in microseconds
     * @return the streams that were in the batch
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
                .filter(record -> record.number() > after)
                .limit(limit)
                .toList();
    }

    /**
     * The load of an engine.
     *
     * @param running the number of streams in the batch
     * @param waiting the number of streams waiting to join the batch
     */
    record EngineLoad(int running, int waiting) {}
}
