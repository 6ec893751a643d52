package org.geraniumreach.ports;

import java.time.Duration;
import java.util.Set;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.AttemptId;

/**
 * A model engine, as its companion speaks to it.
 *
 * <p>Contract: calls other than {@link #generate} and {@link #resume} block for at most their timeout. Implementations are
 * safe for use by several threads. No call carries a caller's key.
 */
public interface ModelEngine {

    /**
     * Starts a stream.
     *
     * @param generation what to generate, not null
     * @param order the fence of the companion, not null
     * @param listener told of what comes, in order, by one thread at a time, not null
     * @return the running stream, not null
     */
    EngineStream generate(Generation generation, Order order, EngineListener listener);

    /**
     * Goes on with a stream that the engine is running or has run.
     *
     * @param attempt the stream, not null
     * @param nextSequence the first chunk wanted
     * @param listener told of what comes; {@link EngineListener#failed} with NONE if the engine does not know it, not null
     * @return the running stream, not null
     */
    EngineStream resume(AttemptId attempt, long nextSequence, EngineListener listener);

    /**
     * Ends a stream at the engine; harmless if it is not there.
     *
     * @param attempt the stream, not null
     * @throws PlatformException if there was no answer
     */
    void cancel(AttemptId attempt) throws PlatformException;

    /**
     * Loads an adapter into a free slot, waiting until it is there.
     *
     * @param adapter the adapter, not null
     * @param order the fence, not null
     * @throws PlatformException if it was not loaded
     */
    void load(AdapterReference adapter, Order order) throws PlatformException;

    /**
     * Unloads an adapter; harmless if it is not there.
     *
     * @param adapter the adapter, not null
     * @param order the fence, not null
     * @throws PlatformException if there was no answer
     */
    void unload(AdapterReference adapter, Order order) throws PlatformException;

    /**
     * Reads the engine's state.
     *
     * @return the state, not null
     * @throws PlatformException if there was no answer
     */
    State state() throws PlatformException;

    /**
     * What to generate.
     *
     * @param attempt the stream's name
     * @param account for whom
     * @param adapter on what
     * @param prompt the prompt
     * @param maximumTokens the most tokens to generate
     * @param priority 0 to 9, 9 first
     */
    record Generation(
            AttemptId attempt,
            AccountId account,
            AdapterReference adapter,
            String prompt,
            int maximumTokens,
            int priority) {}

    /**
     * The standing of an order.
     *
     * @param fence the companion's fence; a target that checks refuses lower ones
     * @param validFor how long from now the order may be carried out
     */
    record Order(long fence, Duration validFor) {}

    /**
     * An engine's state.
     *
     * @param incarnation a new number at each start of the engine
     * @param resident the adapters that it holds
     * @param streams the streams that it is running, or holds the end of
     * @param running the number of streams in its batch
     * @param waiting the number of streams waiting for the batch
     */
    record State(long incarnation, Set<AdapterReference> resident, Set<AttemptId> streams, int running, int waiting) {}

    /** A stream that an engine is running. */
    interface EngineStream {

        /**
         * Lets more chunks come.
         *
         * @param chunks how many more, at least 1
         */
        void request(int chunks);

        /** Stops listening; the engine goes on until {@link ModelEngine#cancel}. */
        void detach();
    }

    /** Is told of what a stream brings. */
    interface EngineListener {

        /**
         * Tells, before the first chunk, what the engine runs the stream on; an engine that does not name it at the
         * stream's start names it only in {@link GenerationEnd#served}.
         *
         * @param served the adapter and version, not null
         */
        default void started(AdapterReference served) {}

        /**
         * Tells of a chunk.
         *
         * @param sequence its number, from 0 and one apart
         * @param text the text generated
         * @param tokens the number of tokens in it
         */
        void chunk(long sequence, String text, int tokens);

        /**
         * Tells of the end; nothing follows.
         *
         * @param end the end, not null
         */
        void ended(GenerationEnd end);

        /**
         * Tells that the stream broke off; nothing follows.
         *
         * @param failure what happened; its effect tells whether the stream may have started, not null
         */
        void failed(PlatformException failure);
    }

    /**
     * The end of a stream.
     *
     * @param chunks the number of chunks in all
     * @param served what the engine says it ran
     * @param promptTokens the tokens of the prompt
     * @param generatedTokens the tokens generated
     * @param finishReason stop or length
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
