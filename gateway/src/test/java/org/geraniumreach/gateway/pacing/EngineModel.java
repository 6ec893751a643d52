package org.geraniumreach.gateway.pacing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/** Simulates an engine with continuous batching: each step reads some prompt tokens and generates one token of each stream. */
final class EngineModel {

    private static final double STEP_MILLIS = 10.5;
    private static final double MILLIS_PER_STREAM = 0.00733;
    static final double TOKENS_PER_MILLI = 19.2;
    private static final int PROMPT_TOKENS_PER_STEP = 2_048;
    private static final int TOKENS_PER_EVENT = 3;

    private final Deque<Stream> reading = new ArrayDeque<>();
    private final List<Stream> running = new ArrayList<>();
    private double now;

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

        void sendAt(double millis) {
            sentAt = millis;
        }

        double timeToFirstEvent() {
            return firstEventAt - arrivedAt;
        }

        double longestPause() {
            return longestPause;
        }

        private void generateToken(double at) {
            generatedTokens++;
            if (generatedTokens % TOKENS_PER_EVENT != 0 && generatedTokens < outputTokens) {
                return;
            }
            if (firstEventAt < 0) {
                firstEventAt = at;
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
                Stream next = arriving.poll();
                next.unreadTokens = next.promptTokens;
                reading.add(next);
            }
            step();
        }
    }

    private void step() {
        int budget = PROMPT_TOKENS_PER_STEP;
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
        now += STEP_MILLIS + MILLIS_PER_STREAM * running.size() + (PROMPT_TOKENS_PER_STEP - budget) / TOKENS_PER_MILLI;
        for (Iterator<Stream> iterator = running.iterator(); iterator.hasNext(); ) {
            Stream stream = iterator.next();
            stream.generateToken(now);
            if (stream.generatedTokens >= stream.outputTokens) {
                iterator.remove();
            }
        }
        finishedReading.forEach(stream -> stream.generatedTokens = 1);
        running.addAll(finishedReading);
    }
}
