package org.geraniumreach.daemon.companion;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

import com.google.protobuf.ByteString;
import org.geraniumreach.messages.End;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.ports.ModelEngine.EngineListener;
import org.geraniumreach.ports.ModelEngine.EngineStream;
import org.geraniumreach.ports.ModelEngine.GenerationEnd;
import org.geraniumreach.ports.PlatformException;
import org.geraniumreach.serving.queue.QueuedRequest;
import org.geraniumreach.serving.residency.Pin;

/**
 * The stream of one attempt at the engine.
 *
 * <p>Invariants: nothing is sent to the entry before the engine has named the adapter and version that it runs, and
 * they are the requested ones; the adapter stays pinned until the engine has ended the stream, has stopped it, or does
 * not know it. Safe for use by several threads.
 */
final class AttemptStream implements EngineListener {

    private static final long NANOS_PER_MICRO = 1_000;

    private final QueuedRequest<CompanionAttempt> request;
    private final Optional<Pin> pin;
    private final long engineIncarnation;
    private final long queueNanos;
    private final long loadNanos;
    private final Listener listener;
    private final AtomicBoolean isPinReleased = new AtomicBoolean();
    private EngineStream stream;
    private boolean hasStarted;
    private boolean isResumed;
    private boolean isCancelled;
    private boolean isDetached;
    private boolean isBroken;
    private long brokenSince;

    AttemptStream(
            QueuedRequest<CompanionAttempt> request,
            Optional<Pin> pin,
            long engineIncarnation,
            long queueNanos,
            long loadNanos,
            Listener listener) {
        this.request = request;
        this.pin = pin;
        this.engineIncarnation = engineIncarnation;
        this.queueNanos = queueNanos;
        this.loadNanos = loadNanos;
        this.listener = listener;
    }

    /** Receives the events that end or interrupt a stream. */
    interface Listener {

        void onEnded(AttemptStream stream, End end);

        /**
         * Called when the engine ran another adapter than the requested one.
         *
         * @param stream the stream, not null
         * @param served the adapter that it ran, not null
         */
        void onWrongAdapterServed(AttemptStream stream, AdapterReference served);

        /**
         * Called when the engine has not started the stream and will not start it.
         *
         * @param stream the stream, not null
         * @param failure the cause, not null
         */
        void onNotStarted(AttemptStream stream, PlatformException failure);

        /**
         * Called when the connection of the stream broke.
         *
         * @param stream the stream, not null
         * @param failure the cause, not null; its effect is NONE if the engine does not know the stream
         */
        void onBroken(AttemptStream stream, PlatformException failure);

        /**
         * Called when a cancelled stream can be stopped at the engine.
         *
         * @param stream the stream, not null
         */
        void onStoppable(AttemptStream stream);
    }

    QueuedRequest<CompanionAttempt> request() {
        return request;
    }

    CompanionAttempt attempt() {
        return request.payload();
    }

    long engineIncarnation() {
        return engineIncarnation;
    }

    /**
     * Sets the engine stream from which chunks are requested, and requests the first ones.
     *
     * @param newStream the engine stream, not null
     */
    void attach(EngineStream newStream) {
        boolean wasDetached;
        synchronized (this) {
            stream = newStream;
            wasDetached = isDetached;
        }
        if (wasDetached) {
            newStream.detach();
            return;
        }
        requestChunks();
    }

    /** Requests as many chunks from the engine as may be buffered. */
    void requestChunks() {
        EngineStream currentStream;
        int chunks;
        synchronized (this) {
            currentStream = stream;
            chunks = currentStream == null || isDetached ? 0 : attempt().takeDemand();
        }
        if (chunks > 0) {
            currentStream.request(chunks);
        }
    }

    /**
     * Replaces the engine stream whose connection broke and requests the chunks that have not arrived again.
     *
     * @param newStream the engine stream, not null
     */
    void attachResumed(EngineStream newStream) {
        attempt().resetDemand();
        attach(newStream);
    }

    /** Ignores all further events of the engine. */
    void detach() {
        EngineStream detachedStream;
        synchronized (this) {
            isDetached = true;
            detachedStream = stream;
        }
        if (detachedStream != null) {
            detachedStream.detach();
        }
    }

    /**
     * Cancels the stream. A cancel that arrives at the engine before the stream's start has no effect, and the stream
     * would then run without a pin. A stream of which the engine has reported nothing yet is therefore listened to
     * until it does.
     *
     * @return true if the engine may be told to stop the stream; false if {@link Listener#onStoppable} is called later
     */
    boolean cancel() {
        synchronized (this) {
            isCancelled = true;
            if (!hasStarted) {
                return false;
            }
        }
        detach();
        return true;
    }

    synchronized boolean isCancelled() {
        return isCancelled;
    }

    /**
     * Records that the stream is being resumed. A failure with effect NONE after that means that the engine does not
     * know the stream, and no longer that it has not started it.
     */
    synchronized void markResumed() {
        isResumed = true;
    }

    /**
     * Queries whether the connection of the stream has been broken for longer than a limit; the first call after an
     * event of the engine starts the measurement.
     *
     * @param now the current time
     * @param limit the limit
     * @return true if the engine has reported nothing for longer than the limit
     */
    synchronized boolean isBrokenLongerThan(long now, Duration limit) {
        if (!isBroken) {
            isBroken = true;
            brokenSince = now;
        }
        return now - brokenSince > limit.toNanos();
    }

    synchronized boolean hasStarted() {
        return hasStarted;
    }

    /**
     * Releases the adapter's pin.
     *
     * @return false if it was released before
     */
    boolean releasePin() {
        if (!isPinReleased.compareAndSet(false, true)) {
            return false;
        }
        pin.ifPresent(Pin::release);
        return true;
    }

    @Override
    public void onStarted(AdapterReference served) {
        if (!acceptEvent()) {
            return;
        }
        if (!attempt().adapter().equals(Optional.of(served))) {
            listener.onWrongAdapterServed(this, served);
            return;
        }
        attempt().open();
    }

    private boolean acceptEvent() {
        synchronized (this) {
            hasStarted = true;
            isBroken = false;
            if (isDetached || !isCancelled) {
                return !isDetached;
            }
        }
        detach();
        listener.onStoppable(this);
        return false;
    }

    @Override
    public void onChunk(long sequence, String text, int tokens) {
        if (!acceptEvent()) {
            return;
        }
        attempt().add(Frames.chunk(attempt().id(), sequence, ByteString.copyFromUtf8(text), tokens));
        requestChunks();
    }

    @Override
    public void onEnded(GenerationEnd end) {
        if (!acceptEvent()) {
            return;
        }
        if (!attempt().adapter().equals(Optional.of(end.served()))) {
            listener.onWrongAdapterServed(this, end.served());
            return;
        }
        markDetached();
        listener.onEnded(this, toEnd(end));
    }

    private End toEnd(GenerationEnd end) {
        return End.newBuilder()
                .setAttempt(attempt().id().value())
                .setCount(end.chunks())
                .setPromptTokens(end.promptTokens())
                .setGeneratedTokens(end.generatedTokens())
                .setAdapter(end.served().adapter())
                .setVersion(end.served().version())
                .setFinishReason(end.finishReason())
                .setQueueMicros(queueNanos / NANOS_PER_MICRO)
                .setLoadMicros(loadNanos / NANOS_PER_MICRO)
                .setPrefixHit(end.prefixHit())
                .build();
    }

    private synchronized void markDetached() {
        isDetached = true;
    }

    @Override
    public void onFailed(PlatformException failure) {
        boolean hasNotStarted;
        boolean wasCancelled;
        synchronized (this) {
            if (isDetached) {
                return;
            }
            hasNotStarted = failure.effect() == PlatformException.Effect.NONE && !hasStarted && !isResumed;
            wasCancelled = isCancelled;
            isDetached = hasNotStarted || wasCancelled;
        }
        if (wasCancelled && !hasNotStarted) {
            listener.onStoppable(this);
        } else if (hasNotStarted) {
            listener.onNotStarted(this, failure);
        } else {
            listener.onBroken(this, failure);
        }
    }
}
