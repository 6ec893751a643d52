package org.geraniumreach.integration;

import java.time.Duration;
import java.util.concurrent.Callable;

/** Polls until a condition holds, with a timeout long enough that only a fault exceeds it. */
final class Eventually {

    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final long POLL_INTERVAL_MILLIS = 50;

    private Eventually() {}

    static void until(String description, Callable<Boolean> condition) throws Exception {
        long deadline = System.nanoTime() + TIMEOUT.toNanos();
        while (!holds(condition)) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("timed out waiting for: " + description);
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private static boolean holds(Callable<Boolean> condition) {
        try {
            return condition.call();
        } catch (Exception notYet) {
            return false;
        }
    }
}
