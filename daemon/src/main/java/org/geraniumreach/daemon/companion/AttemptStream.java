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
 * One attempt's stream at the engine.
 *
 * <p>Invariants: nothing goes to the entry before the engine has named the adapter and version that it runs, and they are
 * the ones asked for; the adapter stays pinned until the engine has ended the stream, was made to, or does not know it.
 * Safe for use by several threads.
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
            Listener owner) {
        this.request = request;
        this.pin = pin;
        this.engineIncarnation = engineIncarnation;
        this.queueNanos = queueNanos;
        this.loadNanos = loadNanos;
        this.listener = owner;
    }

    /** What becomes of a stream. */
    interface Listener {

        void onEnded(AttemptStream answer, End end);

        /**
         * Tells that the engine ran something else than was asked for.
         *
         * @param answer the stream, not null
         * @param served what it ran, not null
         */
        void onWrongAdapterServed(AttemptStream answer, AdapterReference served);

        /**
         * Tells that the engine has not started the stream and will not.
         *
         * @param answer the stream, not null
         * @param failure why, not null
         */
        void onNotStarted(AttemptStream answer, PlatformException failure);

        /**
         * Tells that the stream broke off.
         *
         * @param answer the stream, not null
         * @param failure why; its effect is NONE if the engine does not know the stream, not null
         */
        void onBroken(AttemptStream answer, PlatformException failure);

        /**
         * Tells that a stream that was given up can be stopped at the engine now.
         *
         * @param answer the stream, not null
         */
        void onStoppable(AttemptStream answer);
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
     * Takes the stream over which chunks are asked for.
     *
     * @param newStream the stream, not null
     */
    void attach(EngineStream newStream) {
        boolean isOver;
        synchronized (this) {
            stream = newStream;
            isOver = isDetached;
        }
        if (isOver) {
            newStream.detach();
            return;
        }
        requestChunks();
    }

    /** Asks the engine for as many chunks as may be kept. */
    void requestChunks() {
        EngineStream asked;
        int chunks;
        synchronized (this) {
            asked = stream;
            chunks = asked == null || isDetached ? 0 : attempt().takeDemand();
        }
        if (chunks > 0) {
            asked.request(chunks);
        }
    }

    /**
     * Takes the stream that goes on where another one broke off, and asks it for what that one still owed.
     *
     * @param newStream the stream, not null
     */
    void attachResumed(EngineStream newStream) {
        attempt().resetDemand();
        attach(newStream);
    }

    /** Listens no more. */
    void detach() {
        EngineStream listened;
        synchronized (this) {
            isDetached = true;
            listened = stream;
        }
        if (listened != null) {
            listened.detach();
        }
    }

    /**
     * Gives the stream up. A cancel that overtakes the stream's start at the engine does nothing, and the stream would run
     * on without a pin; so one that the engine has not been heard of yet is listened to until it is.
     *
     * @return true if the engine may be told to stop now, false if {@link Listener#onStoppable} will tell when
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

    /** Notes that the stream is being asked for again, so that a NONE from now on says it is not known. */
    synchronized void markResumed() {
        isResumed = true;
    }

    /**
     * Queries whether a stream has been broken for too long.
     *
     * @param now the time
     * @param limit how long it may be
     * @return true if nothing has come of it for longer
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
     * Lets the adapter go, once.
     *
     * @return false if that was done before
     */
    boolean releasePin() {
        if (!isPinReleased.compareAndSet(false, true)) {
            return false;
        }
        pin.ifPresent(Pin::release);
        return true;
    }

    @Override
    public void started(AdapterReference served) {
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
    public void chunk(long sequence, String text, int tokens) {
        if (!acceptEvent()) {
            return;
        }
        attempt().add(Frames.chunk(attempt().id(), sequence, ByteString.copyFromUtf8(text), tokens));
        requestChunks();
    }

    @Override
    public void ended(GenerationEnd end) {
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
    public void failed(PlatformException failure) {
        boolean notStarted;
        boolean wasCancelled;
        synchronized (this) {
            if (isDetached) {
                return;
            }
            notStarted = failure.effect() == PlatformException.Effect.NONE && !hasStarted && !isResumed;
            wasCancelled = isCancelled;
            isDetached = notStarted || wasCancelled;
        }
        if (wasCancelled && !notStarted) {
            listener.onStoppable(this);
        } else if (notStarted) {
            listener.onNotStarted(this, failure);
        } else {
            listener.onBroken(this, failure);
        }
    }
}
