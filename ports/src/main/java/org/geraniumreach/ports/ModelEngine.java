package org.geraniumreach.ports;

import java.time.Duration;
import java.util.Set;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.AttemptId;

/**
 * The interface of a companion to its model engine.
 *
 * <p>Contract: calls other than {@link #generate} and {@link #resume} block for at most their timeout. Implementations
 * are safe for use by several threads. No call carries a caller's key.
 */
public interface ModelEngine {

    /**
     * Starts a stream.
     *
     * @param generation the generation request, not null
     * @param fence the companion's fencing token and the command's validity, not null
     * @param listener receives the stream, in order, called by one thread at a time, not null
     * @return the running stream, not null
     */
    EngineStream generate(Generation generation, CommandFence fence, EngineListener listener);

    /**
     * Resumes a stream that the engine is running or has run.
     *
     * @param attempt the stream's attempt, not null
     * @param nextSequence the sequence number of the first chunk to receive
     * @param listener receives the stream; {@link EngineListener#onFailed} is called with effect NONE if the engine does
     *     not know the stream, not null
     * @return the running stream, not null
     */
    EngineStream resume(AttemptId attempt, long nextSequence, EngineListener listener);

    /**
     * Cancels a stream at the engine; has no effect if the engine does not know it.
     *
     * @param attempt the stream's attempt, not null
     * @throws PlatformException if the call failed or got no answer
     */
    void cancel(AttemptId attempt) throws PlatformException;

    /**
     * Loads an adapter into a free slot and waits until it is loaded.
     *
     * @param adapter the adapter, not null
     * @param fence the companion's fencing token and the command's validity, not null
     * @throws PlatformException if it was not loaded, or the call got no answer
     */
    void load(AdapterReference adapter, CommandFence fence) throws PlatformException;

    /**
     * Unloads an adapter; has no effect if it is not loaded.
     *
     * @param adapter the adapter, not null
     * @param fence the companion's fencing token and the command's validity, not null
     * @throws PlatformException if the call failed or got no answer
     */
    void unload(AdapterReference adapter, CommandFence fence) throws PlatformException;

    /**
     * Reads the engine's state.
     *
     * @return the state, not null
     * @throws PlatformException if the call failed or got no answer
     */
    State state() throws PlatformException;

    /**
     * A generation request.
     *
     * @param attempt the attempt, which identifies the stream
     * @param account the client account that the request belongs to
     * @param adapter the adapter to generate with
     * @param prompt the prompt
     * @param maximumTokens the maximum number of tokens to generate
     * @param priority the priority, from 0 to 9 (highest)
     */
    record Generation(
            AttemptId attempt,
            AccountId account,
            AdapterReference adapter,
            String prompt,
            int maximumTokens,
            int priority) {}

    /**
     * The fencing token and validity of a command to an engine.
     *
     * @param fencingToken the companion's fencing token; a target that checks it refuses lower ones
     * @param validFor how long from now the command may be executed
     */
    record CommandFence(long fencingToken, Duration validFor) {}

    /**
     * An engine's state.
     *
     * @param incarnation a number that is new at each start of the engine
     * @param resident the loaded adapters
     * @param streams the streams that are running, or have ended but are still kept
     * @param running the number of streams in the current batch
     * @param waiting the number of streams waiting to enter the batch
     */
    record State(long incarnation, Set<AdapterReference> resident, Set<AttemptId> streams, int running, int waiting) {}

    /** A stream that an engine is running. */
    interface EngineStream {

        /**
         * Allows the engine's stream to deliver more chunks.
         *
         * @param chunks the number of additional chunks, at least 1
         */
        void request(int chunks);

        /** Stops receiving; the engine continues the stream until {@link ModelEngine#cancel}. */
        void detach();
    }

    /** Receives the events of a stream. */
    interface EngineListener {

        /**
         * Called before the first chunk with the adapter that the engine uses. An engine that does not report it at the
         * stream's start reports it only in {@link GenerationEnd#served}.
         *
         * @param served the adapter and version, not null
         */
        default void onStarted(AdapterReference served) {}

        /**
         * Called for each chunk.
         *
         * @param sequence its sequence number; consecutive, from 0
         * @param text the generated text
         * @param tokens the number of tokens in it
         */
        void onChunk(long sequence, String text, int tokens);

        /**
         * Called when the stream has ended; this is the last call.
         *
         * @param end the end, not null
         */
        void onEnded(GenerationEnd end);

        /**
         * Called when the stream has failed; this is the last call.
         *
         * @param failure the failure; its effect tells whether the stream may have started, not null
         */
        void onFailed(PlatformException failure);
    }

    /**
     * The end of a stream.
     *
     * @param chunks the total number of chunks
     * @param served the adapter and version that the engine reports to have used
     * @param promptTokens the number of tokens in the prompt
     * @param generatedTokens the number of generated tokens
     * @param finishReason {@code stop} or {@code length}
     * @param prefixHit whether the prompt's prefix was cached
     */
    record GenerationEnd(
            long chunks,
            AdapterReference served,
            int promptTokens,
            int generatedTokens,
            String finishReason,
            boolean prefixHit) {}
}
