package org.geraniumreach.integration;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.geraniumreach.model.ResultCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class EnginePauseTest {

    private static final String MODEL = "adapter-0@v1";
    private static final String PROMPT = "pause";
    private static final int TOKENS = 5;
    private static final int REQUESTS = 24;
    private static final Duration DETECTION_LIMIT = Duration.ofSeconds(2);

    @TempDir
    Path directory;

    private TestSystem system;

    @AfterEach
    void stop() throws Exception {
        system.close();
    }

    /** Guards against requests given up at sound engines that stand still while no other may take them. */
    @ParameterizedTest
    @CsvSource({"1, 1000", "1, 3000", "2, 3000"})
    void requestsOutlastAPauseOfAllEngines(int engines, long pauseMillis) throws Exception {
        system = TestSystem.start(directory, engines);
        assertThat(complete("entry-1").finished()).isTrue();
        system.standIns().engineProcess().suspend();
        List<CompletableFuture<Caller.Reply>> replies = new ArrayList<>();
        for (int request = 0; request < REQUESTS; request++) {
            String entry = "entry-" + (1 + request % 2);
            replies.add(CompletableFuture.supplyAsync(() -> complete(entry), task -> new Thread(task).start()));
        }
        Thread.sleep(Duration.ofMillis(pauseMillis).toMillis());
        system.standIns().engineProcess().resume();
        for (CompletableFuture<Caller.Reply> reply : replies) {
            assertThat(reply.get().finished()).as(reply.get().toString()).isTrue();
            assertThat(reply.get().text()).isEqualTo(Caller.expectedText(MODEL, PROMPT, TOKENS));
        }
        assertThat(complete("entry-1").finished()).isTrue();
    }

    /** Guards against requests kept at an engine that has ended. */
    @Test
    void requestsOfAnEndedEngineFailAtOnce() throws Exception {
        system = TestSystem.start(directory, 1);
        assertThat(complete("entry-1").finished()).isTrue();
        system.standIns().engineProcess().kill();
        for (String entry : List.of("entry-1", "entry-2")) {
            long sentAt = System.nanoTime();
            Caller.Reply reply = complete(entry);
            assertThat(reply.errorCode()).isEqualTo(ResultCode.TARGET_FAILED.number());
            assertThat(Duration.ofNanos(System.nanoTime() - sentAt)).isLessThan(DETECTION_LIMIT);
        }
    }

    private Caller.Reply complete(String entry) {
        try {
            return system.caller(entry).complete(MODEL, PROMPT, TOKENS);
        } catch (Exception failure) {
            throw new IllegalStateException(failure);
        }
    }
}
