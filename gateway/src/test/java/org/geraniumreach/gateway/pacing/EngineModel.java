package org.geraniumreach.gateway.pacing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.function.DoubleUnaryOperator;

/**
 * Simulates an engine with continuous batching: each step reads some prompt tokens and generates one token of each stream. All times are multiplied by
 * the slowness of the engine when the step begins.
 */
final class EngineModel {

    private static final double MILLIS_PER_STREAM = 0.00733;
    static final double TOKENS_PER_MILLI = 19.2;
    static final Kind USUAL = new Kind(10.5, TOKENS_PER_MILLI, 2_048, 3);
    static final Kind CHUNKED = new Kind(8.2, 25.8, 1_024, 4);

    private final Kind kind;
    private final DoubleUnaryOperator slownessAt;
    private final Deque<Stream> reading = new ArrayDeque<>();
    private final List<Stream> running = new ArrayList<>();
    private double now;

    /** The figures of an engine of usual speed. */
    record Kind(double stepMillis, double tokensPerMilli, int promptTokensPerStep, int tokensPerEvent) {}

    EngineModel() {
        this(USUAL, millis -> 1);
    }

    EngineModel(Kind kind, DoubleUnaryOperator slownessAt) {
        this.kind = kind;
        this.slownessAt = slownessAt;
    }

    /** A request with the timing of its answer as seen by the caller. */
    static final class Stream {
        private final double arrivedAt;
        private final int promptTokens;
        private final int outputTokens;
        private double sentAt;
        private int unreadTokens;
        private int generatedTokens;
        private double firstEventAt = -1;
        private double lastEventAt;
        private double longestPause;
        private Runnable onFirstEvent = () -> {};
        private Runnable onEnd = () -> {};

        Stream(double arrivedAt, int promptTokens, int outputTokens) {
            this.arrivedAt = arrivedAt;
            this.promptTokens = promptTokens;
            this.outputTokens = outputTokens;
            this.sentAt = arrivedAt;
        }

        double arrivedAt() {
            return arrivedAt;
        }

        Duration readingTime() {
            return Duration.ofNanos((long) (promptTokens / TOKENS_PER_MILLI * 1e6));
        }

        int promptTokens() {
            return promptTokens;
        }

        boolean hasBegun() {
            return firstEventAt >= 0;
        }

        void listen(Runnable firstEvent, Runnable end) {
            onFirstEvent = firstEvent;
            onEnd = end;
        }

        void sendAt(double millis) {
            sentAt = millis;
        }

        double timeToFirstEvent() {
            return firstEventAt - arrivedAt;
        }

        double longestPause() {
            return longestPause;
        }

        private void generateToken(double at, int tokensPerEvent) {
            generatedTokens++;
            if (generatedTokens % tokensPerEvent != 0 && generatedTokens < outputTokens) {
                return;
            }
            if (firstEventAt < 0) {
                firstEventAt = at;
                onFirstEvent.run();
            } else {
                longestPause = Math.max(longestPause, at - lastEventAt);
            }
            lastEventAt = at;
        }
    }

    /** Runs all streams to their end. */
    void run(List<Stream> streams) {
        Deque<Stream> arriving = new ArrayDeque<>(streams.stream()
                .sorted(Comparator.comparingDouble(stream -> stream.sentAt))
                .toList());
        while (!arriving.isEmpty() || !reading.isEmpty() || !running.isEmpty()) {
            if (reading.isEmpty() && running.isEmpty()) {
                now = Math.max(now, arriving.peek().sentAt);
            }
            while (!arriving.isEmpty() && arriving.peek().sentAt <= now) {
                submit(arriving.poll());
            }
            step();
        }
    }

    void submit(Stream stream) {
        stream.unreadTokens = stream.promptTokens;
        reading.add(stream);
    }

    boolean isIdle() {
        return reading.isEmpty() && running.isEmpty();
    }

    int load() {
        return reading.size() + running.size();
    }

    /** Runs a step that begins at the given time, and returns its end. */
    double stepAt(double millis) {
        now = millis;
        step();
        return now;
    }

    private void step() {
        int budget = kind.promptTokensPerStep();
        List<Stream> finishedReading = new ArrayList<>();
        while (budget > 0 && !reading.isEmpty()) {
            Stream first = reading.peek();
            int tokens = Math.min(budget, first.unreadTokens);
            first.unreadTokens -= tokens;
            budget -= tokens;
            if (first.unreadTokens == 0) {
                finishedReading.add(reading.poll());
            }
        }
        double readingMillis = (kind.promptTokensPerStep() - budget) / kind.tokensPerMilli();
        now += slownessAt.applyAsDouble(now) * (kind.stepMillis() + MILLIS_PER_STREAM * running.size() + readingMillis);
        for (Iterator<Stream> iterator = running.iterator(); iterator.hasNext(); ) {
            Stream stream = iterator.next();
            stream.generateToken(now, kind.tokensPerEvent());
            if (stream.generatedTokens >= stream.outputTokens) {
                iterator.remove();
                stream.onEnd.run();
            }
        }
        finishedReading.forEach(stream -> stream.generatedTokens = 1);
        running.addAll(finishedReading);
    }
}
