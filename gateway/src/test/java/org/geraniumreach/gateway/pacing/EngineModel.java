package org.geraniumreach.gateway.pacing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/** A model engine that batches continuously: in each step it reads a part of the prompts and makes a token of each stream. */
final class EngineModel {

    private static final double STEP_MILLIS = 10.5;
    private static final double MILLIS_FOR_EACH_STREAM = 0.00733;
    static final double TOKENS_PER_MILLI = 19.2;
    private static final int READ_IN_A_STEP = 2_048;
    private static final int TOKENS_OF_AN_EVENT = 3;

    private final Deque<Stream> reading = new ArrayDeque<>();
    private final List<Stream> running = new ArrayList<>();
    private double now;

    /** One request, with what its caller sees. */
    static final class Stream {
        private final double arrivedAt;
        private final int promptTokens;
        private final int outputTokens;
        private double sentAt;
        private int toRead;
        private int made;
        private double firstAt = -1;
        private double lastAt;
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

        Duration reading() {
            return Duration.ofNanos((long) (promptTokens / TOKENS_PER_MILLI * 1e6));
        }

        void sendAt(double millis) {
            sentAt = millis;
        }

        double untilFirst() {
            return firstAt - arrivedAt;
        }

        double longestPause() {
            return longestPause;
        }

        private void token(double at) {
            made++;
            if (made % TOKENS_OF_AN_EVENT != 0 && made < outputTokens) {
                return;
            }
            if (firstAt < 0) {
                firstAt = at;
            } else {
                longestPause = Math.max(longestPause, at - lastAt);
            }
            lastAt = at;
        }
    }

    /** Runs all streams to their ends. */
    void run(List<Stream> streams) {
        Deque<Stream> coming = new ArrayDeque<>(streams.stream()
                .sorted(Comparator.comparingDouble(stream -> stream.sentAt))
                .toList());
        while (!coming.isEmpty() || !reading.isEmpty() || !running.isEmpty()) {
            if (reading.isEmpty() && running.isEmpty()) {
                now = Math.max(now, coming.peek().sentAt);
            }
            while (!coming.isEmpty() && coming.peek().sentAt <= now) {
                Stream next = coming.poll();
                next.toRead = next.promptTokens;
                reading.add(next);
            }
            step();
        }
    }

    private void step() {
        int budget = READ_IN_A_STEP;
        List<Stream> read = new ArrayList<>();
        while (budget > 0 && !reading.isEmpty()) {
            Stream first = reading.peek();
            int part = Math.min(budget, first.toRead);
            first.toRead -= part;
            budget -= part;
            if (first.toRead == 0) {
                read.add(reading.poll());
            }
        }
        now += STEP_MILLIS + MILLIS_FOR_EACH_STREAM * running.size() + (READ_IN_A_STEP - budget) / TOKENS_PER_MILLI;
        for (Iterator<Stream> each = running.iterator(); each.hasNext(); ) {
            Stream stream = each.next();
            stream.token(now);
            if (stream.made >= stream.outputTokens) {
                each.remove();
            }
        }
        read.forEach(stream -> stream.made = 1);
        running.addAll(read);
    }
}
