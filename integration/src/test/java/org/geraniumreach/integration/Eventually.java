package org.geraniumreach.integration;

import java.time.Duration;
import java.util.concurrent.Callable;

/** Waits for what must come to hold, with a limit so generous that only a fault reaches it. */
final class Eventually {

    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final long POLL_INTERVAL_MILLIS = 50;

    private Eventually() {}

    static void until(String what, Callable<Boolean> condition) throws Exception {
        long deadline = System.nanoTime() + TIMEOUT.toNanos();
        while (!holds(condition)) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("never came to hold: " + what);
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
