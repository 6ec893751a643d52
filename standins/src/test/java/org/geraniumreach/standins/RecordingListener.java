package org.geraniumreach.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.ports.ModelEngine.EngineListener;
import org.geraniumreach.ports.ModelEngine.GenerationEnd;
import org.geraniumreach.ports.PlatformException;

/** Records the events of an engine stream. */
final class RecordingListener implements EngineListener {

    final List<Long> sequences = new ArrayList<>();
    final StringBuffer text = new StringBuffer();
    final CompletableFuture<AdapterReference> served = new CompletableFuture<>();
    final CompletableFuture<GenerationEnd> end = new CompletableFuture<>();

    @Override
    public void onStarted(AdapterReference newServed) {
        served.complete(newServed);
    }

    @Override
    public synchronized void onChunk(long sequence, String chunk, int tokens) {
        sequences.add(sequence);
        text.append(chunk);
        notifyAll();
    }

    @Override
    public void onEnded(GenerationEnd newEnd) {
        end.complete(newEnd);
    }

    @Override
    public void onFailed(PlatformException failure) {
        end.completeExceptionally(failure);
    }

    synchronized void awaitChunks(int count) throws InterruptedException {
        while (sequences.size() < count) {
            wait();
        }
    }
}
