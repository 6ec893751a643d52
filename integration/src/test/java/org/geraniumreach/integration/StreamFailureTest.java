package org.geraniumreach.integration;

import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;

import org.geraniumreach.model.ResultCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class StreamFailureTest {

    private static final String MODEL = "adapter-0@v1";
    private static final int MAX_TOKENS = 200;

    @TempDir
    Path directory;

    private final String prompt = Caller.findPrompt(MODEL, MAX_TOKENS);
    private TestSystem system;

    @BeforeEach
    void start() throws Exception {
        // A step of 10 ms makes a stream of two seconds, so that a fault in its middle comes in its middle.
        system = TestSystem.start(directory, 1, "--step-micros", "10000");
    }

    @AfterEach
    void stop() throws Exception {
        system.close();
    }

    @Test
    void aStreamResumesOnANewConnectionWhenItsLinkGoesSilent() throws Exception {
        // The caller sees a pause and then the rest. Whatever stands between entry and companion loses track of their
        // connection, which stays open without a byte. Heartbeats go unanswered, the entry opens a new connection and
        // resumes at the next sequence; the companion has kept what was not acknowledged.
        Caller.OpenStream stream = system.caller("entry-1").stream(MODEL, prompt, MAX_TOKENS);
        stream.started().await();
        system.relay("companion-0").stopForwarding();
        Caller.Reply reply = stream.reply().get();
        assertThat(reply.finished()).as(reply.toString()).isTrue();
        assertThat(reply.text()).isEqualTo(Caller.expectedText(MODEL, prompt, MAX_TOKENS));
        assertThat(system.standIns().engineRuns())
                .filteredOn(ran -> ran.toString().contains(MODEL))
                .hasSize(1);
    }

    @Test
    void aStreamWhoseLinkIsCutEndsWithAnErrorAndNeverAppearsComplete() throws Exception {
        // The caller gets the part it has, then an error event, and never the ending event. The link is cut and no
        // new one can be opened, so the rest of the answer cannot be had.
        Caller.OpenStream stream = system.caller("entry-1").stream(MODEL, prompt, MAX_TOKENS);
        stream.started().await();
        system.relay("companion-0").disconnect();
        Caller.Reply reply = stream.reply().get();
        assertThat(reply.finished()).isFalse();
        assertThat(reply.errorCode()).isEqualTo(ResultCode.ANSWER_INTERRUPTED.number());
        assertThat(reply.executionStatus()).isEqualTo("unknown");
        assertThat(Caller.expectedText(MODEL, prompt, MAX_TOKENS)).startsWith(reply.text());
    }

    @Test
    void anEngineRestartEndsTheStreamWithAnErrorAndTheAdapterIsReloaded() throws Exception {
        // The caller's stream breaks off with an error. The engine restarts cold: it holds no adapter any more, and the
        // companion must not believe that it does, or the next request would be refused by the engine or run on
        // nothing.
        Caller.OpenStream stream = system.caller("entry-1").stream(MODEL, prompt, MAX_TOKENS);
        stream.started().await();
        system.standIns().restartEngine(0);
        Caller.Reply reply = stream.reply().get();
        assertThat(reply.finished()).isFalse();
        assertThat(Caller.expectedText(MODEL, prompt, MAX_TOKENS)).startsWith(reply.text());
        Eventually.until("the adapter is served again", () -> system.caller("entry-2")
                .complete(MODEL, prompt, 5)
                .text()
                .equals(Caller.expectedText(MODEL, prompt, 5)));
    }

    @Test
    void aResponseFromAnotherVersionIsWithheld() throws Exception {
        // The caller gets an error and not a word of the answer. The engine says that it runs another version than
        // the one named, and a part that had been passed on could not be taken back.
        system.standIns().setEngineFault(0, "{\"wrongVersion\": true}");
        Caller.Reply reply =
                system.caller("entry-1").stream(MODEL, prompt, 20).reply().get();
        assertThat(reply.text()).isEmpty();
        assertThat(reply.errorCode()).isEqualTo(ResultCode.WRONG_ADAPTER_SERVED.number());
    }

    @Test
    void aFailedLoadIsReportedImmediately() throws Exception {
        // The caller gets LOAD_FAILED, not run, instead of waiting for its deadline.
        system.standIns().setEngineFault(0, "{\"failLoads\": true}");
        Caller.Reply reply = system.caller("entry-1").complete("adapter-1@v1", prompt, 5);
        assertThat(reply.errorCode()).isEqualTo(ResultCode.LOAD_FAILED.number());
        assertThat(reply.executionStatus()).isEqualTo("no");
    }

    @Test
    void aGenerationThatMayHaveRunIsNotReportedAsNotRun() throws Exception {
        // The caller is told of the failure, and that the request may have run. The engine restarts while it runs,
        // and for another try there is no target left; of that second try alone "not run" would be true.
        CompletableFuture<Caller.Reply> whole = CompletableFuture.supplyAsync(() -> {
            try {
                return system.caller("entry-1").complete(MODEL, prompt, MAX_TOKENS);
            } catch (InterruptedException interrupted) {
                throw new IllegalStateException(interrupted);
            }
        });
        Eventually.until(
                "the engine runs it",
                () -> system.standIns().engineState(0).path("running").asInt() > 0);
        system.standIns().restartEngine(0);
        assertThat(whole.get().status()).isNotEqualTo(200);
        assertThat(whole.get().executionStatus()).as(whole.get().body()).isEqualTo("unknown");
    }

    @Test
    void aStreamOfAKilledEntryIsCancelledAtTheEngine() throws Exception {
        // Nobody sees the rest: the entry dies in the middle of a stream. The companion gives the work up once its
        // entry has been gone for too long; until then another entry could have taken it over.
        Caller.OpenStream stream = system.caller("entry-1").stream(MODEL, prompt, MAX_TOKENS);
        stream.started().await();
        system.process("entry-1").kill();
        stream.reply().get();
        Eventually.until(
                "the engine runs nothing",
                () -> system.standIns().engineState(0).path("running").asInt() == 0);
    }
}
