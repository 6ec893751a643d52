package org.geraniumreach.standins;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.ports.PlainService;
import org.geraniumreach.ports.PlatformException;
import org.geraniumreach.ports.PlatformException.Effect;
import org.geraniumreach.standins.http.Call;
import org.geraniumreach.standins.http.Faults;
import org.geraniumreach.standins.service.ServiceStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/** Tests the plain service client against the stand-in. */
class ServiceStandInTest {

    private static final byte[] BODY = "{\"booking\":\"b-1\"}".getBytes(StandardCharsets.UTF_8);

    private final StandInsFixture fixture = new StandInsFixture();
    private ServiceStandIn standIn;
    private PlainService service;
    private URI url;

    @BeforeEach
    void start() throws IOException {
        int port = StandInsFixture.freePort();
        standIn = new ServiceStandIn(port, 1, fixture.timer);
        url = StandInsFixture.url(port);
        service = fixture.clients.plainService(url, StandInsFixture.CALL_TIMEOUT);
    }

    @AfterEach
    void stop() {
        standIn.server().close();
        fixture.close();
    }

    @Test
    void anOperationRunsForItsAccountAndIsRecorded() throws Exception {
        JsonNode answer = Call.JSON.readTree(call());
        assertThat(answer.path("account").asText()).isEqualTo("counter");
        assertThat(readRuns().path(0).path("attempt").asText()).isEqualTo("attempt-1");
    }

    @ParameterizedTest
    @CsvSource({"down, NONE, 0", "hang, UNKNOWN, 0", "loseAnswers, UNKNOWN, 1", "swallowAnswers, UNKNOWN, 1"})
    void aFailureReportsNoEffectOnlyIfTheOperationCannotHaveRun(String fault, Effect effect, int runs)
            throws Exception {
        // Whether a failed booking ran depends on where the call failed, which the caller cannot observe. Only a
        // connection that was never established proves that it did not run; repeating it otherwise could book twice.
        standIn.server().setFaults(Call.JSON.readValue("{\"" + fault + "\":true}", Faults.class));
        PlatformException failure = catchThrowableOfType(PlatformException.class, this::call);
        assertThat(failure.effect()).isEqualTo(effect);
        standIn.server().setFaults(Faults.NONE);
        assertThat(readRuns()).hasSize(runs);
    }

    private byte[] call() throws PlatformException {
        return service.call(AttemptId.of("attempt-1"), AccountId.of("counter"), "book", BODY);
    }

    private JsonNode readRuns() throws IOException, InterruptedException {
        HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        HttpRequest request = HttpRequest.newBuilder(url.resolve("/v1/ran")).build();
        return Call.JSON
                .readTree(client.send(request, BodyHandlers.ofString()).body())
                .path("runs");
    }
}
