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
        // A step of 10 ms makes a stream last two seconds, long enough to inject a fault while it is open.
        system = TestSystem.start(directory, 1, "--step-micros", "10000");
    }

    @AfterEach
    void stop() throws Exception {
        system.close();
    }

    @Test
    void aStreamResumesOnANewConnectionWhenItsLinkGoesSilent() throws Exception {
        // A middlebox drops all traffic on the connection between entry and companion without closing it.
        // Heartbeats go unanswered, so the entry opens a new connection and resumes at the next sequence number;
        // the companion has kept what was not acknowledged. The caller sees a pause and then the rest.
        Caller.OpenStream stream = system.caller("entry-1").stream(MODEL, prompt, MAX_TOKENS);
        stream.started().await();
        system.relay("companion-0").stopForwarding();
        Caller.Reply reply = stream.reply().get();
        assertThat(reply.finished()).as(reply.toString()).isTrue();
        assertThat(reply.text()).isEqualTo(Caller.expectedText(MODEL, prompt, MAX_TOKENS));
        assertThat(system.standIns().engineRuns())
                .filteredOn(run -> run.toString().contains(MODEL))
                .hasSize(1);
    }

    @Test
    void aStreamWhoseLinkIsCutEndsWithAnErrorAndNeverAppearsComplete() throws Exception {
        // The link is cut and no new one can be opened, so the rest of the answer is lost. The caller gets an error
        // event after the part already received, and never the final event.
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
        // A restarted engine has no adapters loaded. A companion that still assumed a loaded adapter would send the
        // next request to an engine that refuses it or runs it without the adapter. The open stream ends with an
        // error.
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
        // The engine reports that it runs another version than the requested one. The caller gets an error and no
        // text, since text that has been forwarded cannot be withdrawn.
        system.standIns().setEngineFault(0, "{\"wrongVersion\": true}");
        Caller.Reply reply =
                system.caller("entry-1").stream(MODEL, prompt, 20).reply().get();
        assertThat(reply.text()).isEmpty();
        assertThat(reply.errorCode()).isEqualTo(ResultCode.WRONG_ADAPTER_SERVED.number());
    }

    @Test
    void aFailedLoadIsReportedImmediately() throws Exception {
        // The caller gets LOAD_FAILED, marked as not run, instead of waiting for its deadline.
        system.standIns().setEngineFault(0, "{\"failLoads\": true}");
        Caller.Reply reply = system.caller("entry-1").complete("adapter-1@v1", prompt, 5);
        assertThat(reply.errorCode()).isEqualTo(ResultCode.LOAD_FAILED.number());
        assertThat(reply.executionStatus()).isEqualTo("no");
    }

    @Test
    void aGenerationThatMayHaveRunIsNotReportedAsNotRun() throws Exception {
        // The engine restarts during a generation, and no target is left for a second attempt. "Not run" would be
        // true of the second attempt alone; the caller must be told that the request may have run.
        CompletableFuture<Caller.Reply> reply = CompletableFuture.supplyAsync(() -> {
            try {
                return system.caller("entry-1").complete(MODEL, prompt, MAX_TOKENS);
            } catch (InterruptedException interrupted) {
                throw new IllegalStateException(interrupted);
            }
        });
        Eventually.until(
                "the engine runs the request",
                () -> system.standIns().engineState(0).path("running").asInt() > 0);
        system.standIns().restartEngine(0);
        assertThat(reply.get().status()).isNotEqualTo(200);
        assertThat(reply.get().executionStatus()).as(reply.get().body()).isEqualTo("unknown");
    }

    @Test
    void aStreamOfAKilledEntryIsCancelledAtTheEngine() throws Exception {
        // The entry is killed during a stream, so the rest has no reader. The companion keeps the work for a while,
        // as another entry could take it over, and then cancels it.
        Caller.OpenStream stream = system.caller("entry-1").stream(MODEL, prompt, MAX_TOKENS);
        stream.started().await();
        system.process("entry-1").kill();
        stream.reply().get();
        Eventually.until(
                "the engine runs nothing",
                () -> system.standIns().engineState(0).path("running").asInt() == 0);
    }
}
