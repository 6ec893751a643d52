package org.geraniumreach.integration;

import java.nio.file.Path;

import org.geraniumreach.model.ResultCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class KeyFailureTest {

    private static final String MODEL = "adapter-0@v1";
    private static final int MAX_TOKENS = 2_000;

    @TempDir
    Path directory;

    private TestSystem system;

    @BeforeEach
    void start() throws Exception {
        system = TestSystem.start(directory, 1, "--step-micros", "10000");
    }

    @AfterEach
    void stop() throws Exception {
        system.close();
    }

    @Test
    void aWithdrawnKeyIsRefusedAtBothEntriesAndItsOpenStreamEnds() throws Exception {
        // The operator withdraws the key at one entry while a stream of twenty seconds is open at the other. The
        // stream ends with KEY_REFUSED, and both entries refuse the key.
        String prompt = Caller.findPrompt(MODEL, MAX_TOKENS);
        Caller.OpenStream stream = system.caller("entry-2").stream(MODEL, prompt, MAX_TOKENS);
        stream.started().await();
        system.runControl("withdraw", "key", "floor-key");
        Caller.Reply interrupted = stream.reply().get();
        assertThat(interrupted.finished()).isFalse();
        assertThat(interrupted.errorCode()).isEqualTo(ResultCode.KEY_REFUSED.number());
        for (String entry : new String[] {"entry-1", "entry-2"}) {
            Eventually.until(
                    entry + " refuses the key",
                    () -> system.caller(entry).complete(MODEL, "x", 1).errorCode() == ResultCode.KEY_REFUSED.number());
        }
        Eventually.until(
                "the engine runs nothing",
                () -> system.standIns().engineState(0).path("running").asInt() == 0);
    }

    @Test
    void generationsContinueWhenAllEntriesLoseTheTableService() throws Exception {
        // Every entry learns from every other that the store is unreachable, so no entry can have missed an
        // accepted change and all keep serving.
        system.standIns().setPlatformFault("table", "{\"down\": true}");
        long deadline = System.nanoTime() + 5_000_000_000L;
        while (System.nanoTime() < deadline) {
            for (String entry : new String[] {"entry-1", "entry-2"}) {
                Caller.Reply reply = system.caller(entry).complete(MODEL, "keep on", 3);
                assertThat(reply.text()).as(reply.toString()).isEqualTo(Caller.expectedText(MODEL, "keep on", 3));
            }
        }
    }

    @Test
    void keysAndCredentialsAppearInNoLogOrTargetRecord() throws Exception {
        system.caller("entry-1").complete(MODEL, "say", 3);
        system.caller("entry-1").book("key-z", "{\"card\":\"z\"}");
        for (String instance : new String[] {"entry-1", "entry-2", "companion-0", "companion-service"}) {
            assertThat(system.log(instance)).doesNotContain(TestSystem.KEY).doesNotContain("operator-credential");
        }
        assertThat(system.standIns().engineRuns().toString()).doesNotContain(TestSystem.KEY);
        assertThat(system.standIns().countServiceRunsContaining(TestSystem.KEY)).isZero();
    }
}
