package org.geraniumreach.integration;

import java.nio.file.Path;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class DrainTest {

    private static final String MODEL = "adapter-0@v1";
    private static final int MAX_TOKENS = 200;

    @TempDir
    Path directory;

    private final String prompt = Caller.findPrompt(MODEL, MAX_TOKENS);
    private TestSystem system;

    @BeforeEach
    void start() throws Exception {
        system = TestSystem.start(directory, 2, "--step-micros", "10000");
    }

    @AfterEach
    void stop() throws Exception {
        system.close();
    }

    @Test
    void aTerminatedEntryFinishesItsStreams() throws Exception {
        // An open stream must run to its end when its entry receives SIGTERM.
        Caller.OpenStream stream = system.caller("entry-1").stream(MODEL, prompt, MAX_TOKENS);
        stream.started().await();
        system.process("entry-1").terminate();
        assertThat(stream.reply().get().text()).isEqualTo(Caller.expectedText(MODEL, prompt, MAX_TOKENS));
        assertThat(stream.reply().get().finished()).isTrue();
        assertThat(system.process("entry-1").awaitExit()).isTrue();
        assertThat(system.log("entry-1")).contains("DRAINED").doesNotContain("DRAIN_CUT");
    }

    @Test
    void aCompanionThatIsToldToEndFinishesItsStreamsAndGetsNoNewOnes() throws Exception {
        // Open streams run to their end, and new calls are served by the other target: the companion tells its
        // entries that it is draining, and a request that it refuses has not run and is sent to another target.
        Caller.OpenStream[] streams = new Caller.OpenStream[8];
        for (int number = 0; number < streams.length; number++) {
            streams[number] = system.caller("entry-1").stream("adapter-" + number % 4 + "@v1", prompt, MAX_TOKENS);
        }
        streams[0].started().await();
        system.process("companion-0").terminate();
        for (int number = 0; number < 8; number++) {
            Caller.Reply reply = system.caller("entry-2").complete("adapter-" + number % 4 + "@v1", "go on", 3);
            assertThat(reply.finished()).as(reply.toString()).isTrue();
        }
        for (int number = 0; number < streams.length; number++) {
            String model = "adapter-" + number % 4 + "@v1";
            Caller.Reply reply = streams[number].reply().get();
            assertThat(reply.finished()).as(reply.toString()).isTrue();
            assertThat(reply.text()).isEqualTo(Caller.expectedText(model, prompt, MAX_TOKENS));
        }
        assertThat(system.process("companion-0").awaitExit()).isTrue();
        assertThat(system.log("companion-0")).contains("DRAINED").doesNotContain("DRAIN_CUT");
    }

    @Test
    void aSecondSignalCutsOffOpenStreamsAndIsLogged() throws Exception {
        Caller.OpenStream stream = system.caller("entry-1").stream(MODEL, prompt, MAX_TOKENS);
        stream.started().await();
        system.process("entry-1").terminate();
        Eventually.until("the drain begins", () -> system.log("entry-1").contains("DRAINING"));
        system.process("entry-1").terminate();
        assertThat(system.process("entry-1").awaitExit()).isTrue();
        assertThat(stream.reply().get().finished()).isFalse();
        assertThat(system.log("entry-1")).contains("DRAIN_CUT 1 requests cut off");
    }
}
