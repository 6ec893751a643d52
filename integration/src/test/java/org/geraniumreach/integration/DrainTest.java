package org.geraniumreach.integration;

import java.nio.file.Path;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class DrainTest {

    private static final String MODEL = "adapter-0@v1";
    private static final int TOKENS = 200;

    @TempDir
    Path directory;

    private final String prompt = Caller.promptFor(MODEL, TOKENS);
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
    void anEntryThatIsToldToEndFinishesItsStreams() throws Exception {
        // The caller's stream comes to its end although its entry is told to leave in the middle.
        Caller.Streaming stream = system.caller("entry-1").stream(MODEL, prompt, TOKENS);
        stream.begun().await();
        system.process("entry-1").terminate();
        assertThat(stream.reply().get().text()).isEqualTo(Caller.expected(MODEL, prompt, TOKENS));
        assertThat(stream.reply().get().whole()).isTrue();
        assertThat(system.process("entry-1").awaitEnd()).isTrue();
        assertThat(system.log("entry-1")).contains("DRAINED").doesNotContain("DRAIN_CUT");
    }

    @Test
    void aCompanionThatIsToldToEndFinishesItsStreamsAndGetsNoNewOnes() throws Exception {
        // The caller's stream comes to its end, and whoever calls meanwhile is served by the other target: the
        // companion tells its entries that it leaves, and what it refuses has not run and goes elsewhere.
        Caller.Streaming[] streams = new Caller.Streaming[8];
        for (int number = 0; number < streams.length; number++) {
            streams[number] = system.caller("entry-1").stream("adapter-" + number % 4 + "@v1", prompt, TOKENS);
        }
        streams[0].begun().await();
        system.process("companion-0").terminate();
        for (int number = 0; number < 8; number++) {
            Caller.Reply reply = system.caller("entry-2").complete("adapter-" + number % 4 + "@v1", "go on", 3);
            assertThat(reply.whole()).as(reply.toString()).isTrue();
        }
        for (int number = 0; number < streams.length; number++) {
            String model = "adapter-" + number % 4 + "@v1";
            Caller.Reply reply = streams[number].reply().get();
            assertThat(reply.whole()).as(reply.toString()).isTrue();
            assertThat(reply.text()).isEqualTo(Caller.expected(model, prompt, TOKENS));
        }
        assertThat(system.process("companion-0").awaitEnd()).isTrue();
        assertThat(system.log("companion-0")).contains("DRAINED").doesNotContain("DRAIN_CUT");
    }

    @Test
    void aSecondSignalCutsTheRestOffAndTheLogSaysSo() throws Exception {
        Caller.Streaming stream = system.caller("entry-1").stream(MODEL, prompt, TOKENS);
        stream.begun().await();
        system.process("entry-1").terminate();
        Eventually.until("the drain begins", () -> system.log("entry-1").contains("DRAINING"));
        system.process("entry-1").terminate();
        assertThat(system.process("entry-1").awaitEnd()).isTrue();
        assertThat(stream.reply().get().whole()).isFalse();
        assertThat(system.log("entry-1")).contains("DRAIN_CUT 1 requests cut off");
    }
}
