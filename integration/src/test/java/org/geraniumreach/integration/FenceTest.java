package org.geraniumreach.integration;

import java.nio.file.Path;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class FenceTest {

    private static final String MODEL = "adapter-0@v1";

    @TempDir
    Path directory;

    private TestSystem system;

    @BeforeEach
    void start() throws Exception {
        system = TestSystem.start(directory, 1);
    }

    @AfterEach
    void stop() throws Exception {
        system.close();
    }

    @Test
    void aSuspendedCompanionIsFencedOutAfterAnotherTakesOver() throws Exception {
        // The old companion is suspended for longer than a lease and resumes as if it still owned the target. The
        // engine rejects its lower fencing token; the companion then reads the higher one in the table and stops
        // accepting work, so callers are served only by the new companion.
        assertThat(system.caller("entry-1").complete(MODEL, "first", 3).finished())
                .isTrue();
        system.process("companion-0").suspend();
        system.startCompanion(
                "companion-new", "engine-0", "engine", system.standIns().enginePort(0));
        system.registerInstances();
        Eventually.until(
                "the new companion serves",
                () -> system.caller("entry-1").complete(MODEL, "second", 3).finished());
        system.process("companion-0").resume();
        Eventually.until(
                "the old companion stops", () -> system.log("companion-0").contains("FENCED_OUT"));
        for (int number = 0; number < 10; number++) {
            Caller.Reply reply = system.caller("entry-2").complete(MODEL, "third", 3);
            assertThat(reply.finished()).as(reply.toString()).isTrue();
            assertThat(reply.text()).isEqualTo(Caller.expectedText(MODEL, "third", 3));
        }
    }
}
