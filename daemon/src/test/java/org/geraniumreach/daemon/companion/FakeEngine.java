package org.geraniumreach.daemon.companion;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.ports.ModelEngine;
import org.geraniumreach.ports.PlatformException;
import org.geraniumreach.ports.PlatformException.Effect;
import org.geraniumreach.ports.PlatformException.Reason;

/** An in-memory engine whose faults are set by the test; it sends chunks only on request. */
final class FakeEngine implements ModelEngine {

    private final ExecutorService executor = Executors.newSingleThreadExecutor(task -> {
        Thread worker = new Thread(task, "fake-engine");
        worker.setDaemon(true);
        return worker;
    });
    private final int slots;
    private final Set<AdapterReference> resident = new HashSet<>();
    private final Map<AttemptId, Stream> streams = new LinkedHashMap<>();
    private final List<Generation> started = new ArrayList<>();
    private final List<AdapterReference> loaded = new ArrayList<>();
    private final Set<AttemptId> cancelled = new HashSet<>();
    private final Set<AdapterReference> unloadedInUse = new HashSet<>();
    private long incarnation = 1;
    private boolean servesWrongAdapter;
    private boolean namesAdapterAtEnd;
    private boolean runsBareModel;
    private boolean failsLoads;
    private boolean holdsLoads;
    private long highestFence;

    FakeEngine(int slots) {
        this.slots = slots;
    }

    static String text(Generation generation, long sequence) {
        return generation.adapter() + ":" + generation.prompt() + ":" + sequence + " ";
    }

    private final class Stream implements EngineStream {
        private final Generation generation;
        private final AdapterReference served;
        private EngineListener listener;
        private long next;
        private long demand;
        private boolean ended;

        private Stream(Generation generation, AdapterReference served, EngineListener listener) {
            this.generation = generation;
            this.served = served;
            this.listener = listener;
        }

        @Override
        public void request(int chunks) {
            synchronized (FakeEngine.this) {
                demand += chunks;
            }
            executor.execute(() -> sendChunks(listener));
        }

        private void sendChunks(EngineListener recipient) {
            while (true) {
                long sequence;
                synchronized (FakeEngine.this) {
                    if (listener != recipient || next >= generation.maximumTokens() || demand == 0 || !isRunning()) {
                        break;
                    }
                    demand--;
                    sequence = next++;
                }
                recipient.onChunk(sequence, text(generation, sequence), 1);
            }
            boolean isEnding;
            synchronized (FakeEngine.this) {
                isEnding = listener == recipient && next >= generation.maximumTokens() && !ended && isRunning();
                ended |= isEnding;
            }
            if (isEnding) {
                recipient.onEnded(new GenerationEnd(next, served, 1, (int) next, "length", false));
            }
        }

        private boolean isRunning() {
            return streams.get(generation.attempt()) == this;
        }

        @Override
        public void detach() {
            synchronized (FakeEngine.this) {
                listener = null;
            }
        }
    }

    @Override
    public synchronized EngineStream generate(Generation generation, CommandFence order, EngineListener listener) {
        if (order.fencingToken() < highestFence) {
            return refused(listener, Reason.FENCED);
        }
        boolean isResident = resident.contains(generation.adapter());
        if (!isResident && !runsBareModel) {
            return refused(listener, Reason.NOT_RESIDENT);
        }
        AdapterReference served =
                servesWrongAdapter || !isResident ? AdapterReference.of("other", "1") : generation.adapter();
        Stream stream = new Stream(generation, served, listener);
        streams.put(generation.attempt(), stream);
        started.add(generation);
        boolean namesAdapterAtStart = !namesAdapterAtEnd;
        executor.execute(() -> {
            if (namesAdapterAtStart) {
                listener.onStarted(served);
            }
            stream.sendChunks(listener);
        });
        return stream;
    }

    private EngineStream refused(EngineListener listener, Reason reason) {
        executor.execute(
                () -> listener.onFailed(new PlatformException(Effect.NONE, reason, "refused: " + reason, null)));
        return new EngineStream() {
            @Override
            public void request(int chunks) {}

            @Override
            public void detach() {}
        };
    }

    @Override
    public synchronized EngineStream resume(AttemptId attempt, long nextSequence, EngineListener listener) {
        Stream stream = streams.get(attempt);
        if (stream == null) {
            return refused(listener, Reason.NOT_FOUND);
        }
        stream.listener = listener;
        stream.next = nextSequence;
        stream.demand = 0;
        stream.ended = false;
        executor.execute(() -> stream.sendChunks(listener));
        return stream;
    }

    @Override
    public synchronized void cancel(AttemptId attempt) {
        streams.remove(attempt);
        cancelled.add(attempt);
    }

    @Override
    public void load(AdapterReference adapter, CommandFence order) throws PlatformException {
        synchronized (this) {
            awaitLoadsAllowed();
            if (failsLoads) {
                throw new PlatformException(Effect.NONE, Reason.FAILED, "the store is down", null);
            }
            if (resident.size() >= slots) {
                throw new PlatformException(Effect.NONE, Reason.NO_FREE_SLOT, "no free slot", null);
            }
            resident.add(adapter);
            loaded.add(adapter);
        }
    }

    private void awaitLoadsAllowed() throws PlatformException {
        while (holdsLoads) {
            try {
                wait();
            } catch (InterruptedException stopped) {
                throw new PlatformException(Effect.UNKNOWN, "interrupted", stopped);
            }
        }
    }

    @Override
    public synchronized void unload(AdapterReference adapter, CommandFence order) {
        for (Stream stream : streams.values()) {
            if (stream.generation.adapter().equals(adapter) && !stream.ended) {
                unloadedInUse.add(adapter);
            }
        }
        resident.remove(adapter);
    }

    @Override
    public synchronized State state() {
        Set<AttemptId> running = new HashSet<>(streams.keySet());
        return new State(incarnation, Set.copyOf(resident), running, running.size(), 0);
    }

    synchronized void restart() {
        incarnation++;
        resident.clear();
        List<Stream> interrupted = new ArrayList<>(streams.values());
        streams.clear();
        interrupted.forEach(stream -> breakOff(stream));
    }

    synchronized void breakConnections() {
        streams.values().forEach(this::breakOff);
    }

    private void breakOff(Stream stream) {
        EngineListener listener = stream.listener;
        stream.listener = null;
        if (listener != null && !stream.ended) {
            executor.execute(() -> listener.onFailed(
                    new PlatformException(Effect.UNKNOWN, Reason.NO_ANSWER, "the connection broke", null)));
        }
    }

    synchronized void serveWrongAdapter() {
        servesWrongAdapter = true;
    }

    /** Makes the engine run generations for a non-resident adapter on the bare model instead of refusing them. */
    synchronized void runBareModel() {
        runsBareModel = true;
    }

    synchronized void nameAdapterOnlyAtEnd() {
        namesAdapterAtEnd = true;
    }

    synchronized void failLoads(boolean fails) {
        failsLoads = fails;
    }

    synchronized void holdLoads(boolean holds) {
        holdsLoads = holds;
        notifyAll();
    }

    synchronized void acceptFence(long fence) {
        highestFence = fence;
    }

    /** Adds a stream as left by a companion that crashed. */
    synchronized void addInheritedStream(Generation generation) {
        resident.add(generation.adapter());
        streams.put(generation.attempt(), new Stream(generation, generation.adapter(), null));
    }

    synchronized List<Generation> started() {
        return List.copyOf(started);
    }

    synchronized List<AdapterReference> loaded() {
        return List.copyOf(loaded);
    }

    synchronized Set<AttemptId> cancelled() {
        return Set.copyOf(cancelled);
    }

    synchronized Set<AdapterReference> unloadedInUse() {
        return Set.copyOf(unloadedInUse);
    }

    synchronized long chunksSent(AttemptId attempt) {
        Stream stream = streams.get(attempt);
        return stream == null ? -1 : stream.next;
    }
}
