package org.geraniumreach.standins;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.ports.ModelEngine;
import org.geraniumreach.ports.ModelEngine.CommandFence;
import org.geraniumreach.ports.ModelEngine.EngineStream;
import org.geraniumreach.ports.ModelEngine.Generation;
import org.geraniumreach.ports.ModelEngine.GenerationEnd;
import org.geraniumreach.ports.PlatformException;
import org.geraniumreach.ports.PlatformException.Effect;
import org.geraniumreach.ports.PlatformException.Reason;
import org.geraniumreach.standins.answer.ExpectedAnswer;
import org.geraniumreach.standins.engine.EngineStandIn;
import org.geraniumreach.standins.http.Call;
import org.geraniumreach.standins.http.Faults;
import org.geraniumreach.standins.store.WeightStore;
import org.geraniumreach.standins.store.WeightStoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/** Tests the engine client against the stand-in engine. */
@Timeout(60)
class EngineStandInTest {

    private static final AdapterReference ADAPTER = AdapterReference.of("winding", "v1");
    private static final String PROMPT = "Summarise the fault note of the pump motor that came in this morning.";
    private static final int MAXIMUM_TOKENS = 100;
    private static final int LONG_ANSWER_TOKENS = 10_000;
    private static final CommandFence ORDER = new CommandFence(3, Duration.ofSeconds(5));

    private final StandInsFixture fixture = new StandInsFixture();
    private WeightStoreStandIn weights;
    private EngineStandIn engineStandIn;
    private ModelEngine engine;

    @BeforeEach
    void start() throws Exception {
        int weightPort = StandInsFixture.freePort();
        weights = new WeightStoreStandIn(weightPort, new WeightStore(0, 10, 8, fixture.timer), fixture.timer);
        int port = StandInsFixture.freePort();
        engineStandIn =
                new EngineStandIn(port, StandInsFixture.fastEngine(), StandInsFixture.url(weightPort), fixture.timer);
        engine = fixture.clients.modelEngine(StandInsFixture.url(port), StandInsFixture.ENGINE_LIMITS);
        engine.load(ADAPTER, ORDER);
    }

    @AfterEach
    void stop() {
        engineStandIn.server().close();
        weights.server().close();
        fixture.close();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 7, 1000})
    void anAnswerIsCompleteAndInOrderForAnyDemandPerRequest(int demand) throws Exception {
        RecordingListener listener = new RecordingListener();
        EngineStream stream = engine.generate(generation("one"), ORDER, listener);
        int expected = ExpectedAnswer.of(ADAPTER, PROMPT).length(MAXIMUM_TOKENS);
        for (int requested = demand; requested < expected + demand; requested += demand) {
            stream.request(demand);
            listener.awaitChunks(Math.min(requested, expected));
        }
        GenerationEnd end = listener.end.get(30, TimeUnit.SECONDS);
        assertThat(end.served()).isEqualTo(ADAPTER);
        assertThat(end.chunks()).isEqualTo(expected);
        assertThat(listener.text.toString())
                .isEqualTo(ExpectedAnswer.of(ADAPTER, PROMPT).text(MAXIMUM_TOKENS));
    }

    @Test
    void noChunksAreDeliveredWithoutDemand() throws Exception {
        RecordingListener listener = new RecordingListener();
        EngineStream stream = engine.generate(generation("slow"), ORDER, listener);
        stream.request(3);
        listener.awaitChunks(3);
        RecordingListener second = new RecordingListener();
        engine.resume(AttemptId.of("slow"), 0, second).request(MAXIMUM_TOKENS);
        second.end.get(30, TimeUnit.SECONDS);
        assertThat(listener.sequences).containsExactly(0L, 1L, 2L);
    }

    @Test
    void aStreamResumesAtTheNextTokenAfterItsConnectionBroke() throws Exception {
        // A stream fails after some tokens while the engine continues to generate without a reader.
        // A new connection must deliver the remaining tokens, each exactly once.
        engineStandIn.server().setFaults(faults("{\"dropAfterChunks\":5,\"path\":\"/v1/streams\",\"count\":1}"));
        RecordingListener broken = new RecordingListener();
        engine.generate(generation("dropped"), ORDER, broken).request(1000);
        ExecutionException failure =
                catchThrowableOfType(ExecutionException.class, () -> broken.end.get(30, TimeUnit.SECONDS));
        assertThat(((PlatformException) failure.getCause()).effect()).isEqualTo(Effect.UNKNOWN);
        RecordingListener rest = new RecordingListener();
        engine.resume(AttemptId.of("dropped"), broken.sequences.size(), rest).request(1000);
        rest.end.get(30, TimeUnit.SECONDS);
        assertThat(broken.text.toString() + rest.text)
                .isEqualTo(ExpectedAnswer.of(ADAPTER, PROMPT).text(MAXIMUM_TOKENS));
    }

    @Test
    void aStreamOnASilentConnectionTimesOutAndResumesOnANewConnection() throws Exception {
        // A device on the network path loses the state of a connection, which stays open without delivering anything.
        // Without an idle timeout the answer would never arrive; a new connection delivers the remaining tokens.
        Generation running = new Generation(
                AttemptId.of("silent"), AccountId.of("a"), ADAPTER, PROMPT + " At length.", LONG_ANSWER_TOKENS, 5);
        ExpectedAnswer expected = ExpectedAnswer.of(ADAPTER, running.prompt());
        assertThat(expected.length(LONG_ANSWER_TOKENS)).isEqualTo(LONG_ANSWER_TOKENS);
        RecordingListener silent = new RecordingListener();
        engine.generate(running, ORDER, silent).request(LONG_ANSWER_TOKENS);
        silent.awaitChunks(2);
        engineStandIn.server().silenceConnections();
        assertThat(failureOf(silent).effect()).isEqualTo(Effect.UNKNOWN);
        RecordingListener rest = new RecordingListener();
        engine.resume(AttemptId.of("silent"), silent.sequences.size(), rest).request(LONG_ANSWER_TOKENS);
        rest.end.get(30, TimeUnit.SECONDS);
        assertThat(silent.text.toString() + rest.text).isEqualTo(expected.text(LONG_ANSWER_TOKENS));
    }

    @Test
    void resumingAnUnknownStreamReportsThatItHadNoEffect() {
        RecordingListener listener = new RecordingListener();
        engine.resume(AttemptId.of("never"), 0, listener).request(1);
        assertThat(failureOf(listener).effect()).isEqualTo(Effect.NONE);
        assertThat(failureOf(listener).reason()).isEqualTo(Reason.NOT_FOUND);
    }

    @Test
    void resumingAtAnUnreachableEngineReportsAnUnknownEffect() throws Exception {
        engineStandIn.server().setFaults(faults("{\"down\":true}"));
        RecordingListener listener = new RecordingListener();
        engine.resume(AttemptId.of("perhaps"), 0, listener).request(1);
        assertThat(failureOf(listener).effect()).isEqualTo(Effect.UNKNOWN);
    }

    @Test
    void anAdapterThatIsNotResidentIsRefused() {
        RecordingListener listener = new RecordingListener();
        Generation generation = new Generation(
                AttemptId.of("absent"), AccountId.of("a"), AdapterReference.of("winding", "v2"), PROMPT, 10, 5);
        engine.generate(generation, ORDER, listener).request(1);
        assertThat(failureOf(listener).reason()).isEqualTo(Reason.NOT_RESIDENT);
        assertThat(failureOf(listener).effect()).isEqualTo(Effect.NONE);
    }

    @Test
    void anOrderWithAnOldFenceIsRefused() {
        CommandFence old = new CommandFence(2, Duration.ofSeconds(5));
        PlatformException failure = catchThrowableOfType(PlatformException.class, () -> engine.unload(ADAPTER, old));
        assertThat(failure.reason()).isEqualTo(Reason.FENCED);
    }

    @Test
    void aLoadIsRefusedWithoutAFreeSlot() throws Exception {
        engine.load(AdapterReference.of("winding", "v2"), ORDER);
        PlatformException failure = catchThrowableOfType(
                PlatformException.class, () -> engine.load(AdapterReference.of("winding", "v3"), ORDER));
        assertThat(failure.reason()).isEqualTo(Reason.NO_FREE_SLOT);
    }

    @Test
    void aRestartDiscardsAdaptersAndStreams() throws Exception {
        long before = engine.state().incarnation();
        engineStandIn.restart();
        ModelEngine.State state = engine.state();
        assertThat(state.incarnation()).isGreaterThan(before);
        assertThat(state.resident()).isEmpty();
        assertThat(state.streams()).isEmpty();
    }

    @Test
    void aWrongVersionIsReportedBeforeTheFirstChunkAndAtTheEnd() throws Exception {
        engineStandIn.server().setFaults(faults("{\"wrongVersion\":true,\"path\":\"/v1/streams\"}"));
        RecordingListener listener = new RecordingListener();
        EngineStream stream = engine.generate(generation("wrong"), ORDER, listener);
        assertThat(listener.served.get(30, TimeUnit.SECONDS)).isNotEqualTo(ADAPTER);
        assertThat(listener.sequences).isEmpty();
        stream.request(1000);
        GenerationEnd end = listener.end.get(30, TimeUnit.SECONDS);
        assertThat(end.served()).isNotEqualTo(ADAPTER);
        assertThat(listener.text.toString())
                .isNotEqualTo(ExpectedAnswer.of(ADAPTER, PROMPT).text(MAXIMUM_TOKENS));
    }

    @Test
    void aCancelledStreamFails() throws Exception {
        RecordingListener listener = new RecordingListener();
        Generation generation =
                new Generation(AttemptId.of("long"), AccountId.of("a"), ADAPTER, PROMPT + " At length.", 1_000_000, 5);
        engine.generate(generation, ORDER, listener).request(1_000_000);
        listener.awaitChunks(1);
        engine.cancel(AttemptId.of("long"));
        listener.end.handle((end, failure) -> true).get(30, TimeUnit.SECONDS);
        assertThat(engine.state().running()).isZero();
    }

    private static Generation generation(String attempt) {
        return new Generation(AttemptId.of(attempt), AccountId.of("a"), ADAPTER, PROMPT, MAXIMUM_TOKENS, 5);
    }

    private static PlatformException failureOf(RecordingListener listener) {
        ExecutionException failure =
                catchThrowableOfType(ExecutionException.class, () -> listener.end.get(30, TimeUnit.SECONDS));
        return (PlatformException) failure.getCause();
    }

    private static Faults faults(String json) throws IOException {
        return Call.JSON.readValue(json, Faults.class);
    }
}
