package org.geraniumreach.integration;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class RateFailureTest {

    private static final String MODEL = "adapter-0@v1";
    private static final int MAX_TOKENS = 20;
    private static final long TOKENS_PER_SECOND = 300;
    private static final long BURST_TOKENS = 600;
    private static final int CALLER_COUNT = 6;
    private static final long PHASE_MILLIS = 4_000;

    @TempDir
    Path directory;

    private final AtomicBoolean running = new AtomicBoolean(true);
    private final AtomicInteger completedCalls = new AtomicInteger();
    private TestSystem system;

    @BeforeEach
    void start() throws Exception {
        system = TestSystem.start(directory, 1, "--step-micros", "1000");
        system.submit("--- {kind: account, name: floor, schemaVersion: 2, tokensPerSecond: " + TOKENS_PER_SECOND
                + ", burstTokens: " + BURST_TOKENS + ", priority: 5}\n");
    }

    @AfterEach
    void stop() throws Exception {
        system.close();
    }

    @Test
    void anAccountStaysWithinItsRateWhileAnEntryIsReplacedAndTheStoreFails() throws Exception {
        // Callers send several times the account's rate to both entries while one entry is killed and replaced and
        // the table service then fails. Whatever shares the entries assume, the engine must not run more than the
        // rate allows over the whole time plus one burst.
        long startNanos = System.nanoTime();
        long tokensBefore = countEngineTokens();
        List<CompletableFuture<Void>> callers = new ArrayList<>();
        for (int number = 0; number < CALLER_COUNT; number++) {
            String entry = number % 2 == 0 ? "entry-1" : "entry-2";
            callers.add(CompletableFuture.runAsync(() -> callUntilStopped(entry)));
        }
        Thread.sleep(PHASE_MILLIS);
        system.process("entry-1").kill();
        system.startEntry("entry-3");
        system.registerInstances();
        for (int number = 0; number < CALLER_COUNT / 2; number++) {
            callers.add(CompletableFuture.runAsync(() -> callUntilStopped("entry-3")));
        }
        Thread.sleep(PHASE_MILLIS);
        system.standIns().setPlatformFault("table", "{\"down\": true}");
        Thread.sleep(PHASE_MILLIS);
        running.set(false);
        for (CompletableFuture<Void> caller : callers) {
            caller.get();
        }
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        assertThat(completedCalls.get()).isPositive();
        assertThat(countEngineTokens() - tokensBefore)
                .isLessThanOrEqualTo((long) (TOKENS_PER_SECOND * seconds) + BURST_TOKENS);
    }

    private void callUntilStopped(String entry) {
        try {
            while (running.get()) {
                Caller.Reply reply = system.caller(entry).complete(MODEL, "note", MAX_TOKENS);
                if (reply.finished()) {
                    completedCalls.incrementAndGet();
                } else {
                    Thread.sleep(10);
                }
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private long countEngineTokens() throws Exception {
        long tokens = 0;
        for (JsonNode stream : system.standIns().engineRuns()) {
            tokens +=
                    stream.path("promptTokens").asLong() + stream.path("tokens").asLong();
        }
        return tokens;
    }
}
