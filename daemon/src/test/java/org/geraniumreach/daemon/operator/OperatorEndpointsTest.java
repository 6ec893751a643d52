package org.geraniumreach.daemon.operator;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.geraniumreach.daemon.configuration.ChangeHistory;
import org.geraniumreach.daemon.configuration.ConfigurationSettings;
import org.geraniumreach.daemon.configuration.InMemoryTable;
import org.geraniumreach.daemon.configuration.ReplicatedConfiguration;
import org.geraniumreach.daemon.configuration.SingleEntry;
import org.geraniumreach.daemon.configuration.Submitter;
import org.geraniumreach.daemon.http.HttpLimits;
import org.geraniumreach.daemon.http.HttpListener;
import org.geraniumreach.daemon.settings.DataSize;
import org.geraniumreach.model.KeyDigest;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.ResultCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class OperatorEndpointsTest {

    private static final HttpLimits LIMITS = new HttpLimits(
            new DataSize(8192),
            new DataSize(8192),
            50,
            Duration.ofSeconds(10),
            Duration.ofSeconds(10),
            Duration.ofSeconds(10),
            2);
    private static final ConfigurationSettings SETTINGS = new ConfigurationSettings(
            Duration.ofMillis(50), Duration.ofMillis(500), 1, Duration.ofSeconds(2), Duration.ZERO, 500);
    private static final String ACCOUNT =
            "{'operation':'op','basedOn':0,'kind':'account','name':'acme','record':{'schemaVersion':1,'rate':1,"
                    + "'burst':1}}";

    private final MonotonicClock clock = MonotonicClock.system();
    private final InMemoryTable table = new InMemoryTable();
    private final ExecutorService executor = Executors.newFixedThreadPool(2);
    private final HttpClient client = HttpClient.newHttpClient();
    private ReplicatedConfiguration configuration;
    private Submitter submitter;
    private HttpListener listener;

    @BeforeEach
    void start() throws Exception {
        configuration = SingleEntry.start(SETTINGS, table, clock);
        submitter = new Submitter(configuration, SETTINGS, table, clock, new Random(1));
        OperatorEndpoints endpoints = new OperatorEndpoints(
                KeyDigest.ofSecret("operator"),
                configuration,
                submitter,
                new ChangeHistory(table, clock),
                RecordJson::object);
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        listener = HttpListener.start("operator", LIMITS, address, endpoints.routes(), executor);
    }

    @AfterEach
    void close() {
        listener.close();
        configuration.close();
        executor.shutdownNow();
    }

    private JsonNode call(String credential, String method, String path, String body) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + listener.address().getPort() + "/operator/v1/" + path))
                .header("Authorization", "Bearer " + credential)
                .method(method, HttpRequest.BodyPublishers.ofString(body == null ? "" : body.replace('\'', '"')))
                .build();
        HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
        JsonNode json = new ObjectMapper().readTree(response.body());
        int code = json.path("error").path("code").asInt(0);
        assertThat(response.statusCode())
                .isEqualTo(ResultCode.ofNumber(code).orElseThrow().httpStatus());
        return json;
    }

    private static int code(JsonNode answer) {
        return answer.path("error").path("code").asInt();
    }

    @Test
    void aRecordCanBeSubmittedListedShownAndWithdrawnAndHasAHistory() throws Exception {
        JsonNode accepted = call("operator", "POST", "submit", ACCOUNT);
        assertThat(accepted.path("change").path("revision").asInt()).isEqualTo(1);
        assertThat(call("operator", "GET", "records/account", null).path("records"))
                .hasSize(1);
        assertThat(call("operator", "GET", "records/account/acme", null)
                        .path("record")
                        .path("rate")
                        .asInt())
                .isEqualTo(1);
        String withdrawal = "{'operation':'op-2','basedOn':1,'kind':'account','name':'acme'}";
        assertThat(call("operator", "POST", "withdraw", withdrawal)
                        .path("change")
                        .path("withdrawn")
                        .asBoolean())
                .isTrue();
        assertThat(code(call("operator", "GET", "records/account/acme", null)))
                .isEqualTo(ResultCode.RECORD_UNKNOWN.number());
        assertThat(call("operator", "GET", "history?kind=account&name=acme", null)
                        .path("changes"))
                .hasSize(2);
    }

    @Test
    void aConflictCarriesTheCurrentRecord() throws Exception {
        call("operator", "POST", "submit", ACCOUNT);
        JsonNode conflict = call("operator", "POST", "submit", ACCOUNT.replace("'op'", "'other'"));
        assertThat(code(conflict)).isEqualTo(ResultCode.CONFLICT.number());
        assertThat(conflict.path("current").path("operation").asText()).isEqualTo("op");
        assertThat(conflict.path("error").path("ran").asText()).isEqualTo("no");
    }

    @ParameterizedTest
    @ValueSource(strings = {"wrong", "operator2", "operato"})
    void aWrongCredentialIsRefusedAndNothingIsWritten(String credential) throws Exception {
        for (String path : new String[] {"submit", "withdraw", "validate"}) {
            assertThat(code(call(credential, "POST", path, ACCOUNT))).isEqualTo(ResultCode.OPERATOR_REFUSED.number());
        }
        for (String path : new String[] {"status", "history", "records/account", "records/account/acme"}) {
            assertThat(code(call(credential, "GET", path, null))).isEqualTo(ResultCode.OPERATOR_REFUSED.number());
        }
        assertThat(configuration.current().revision()).isZero();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    POST | submit           | {                                            | MALFORMED_REQUEST
                    POST | submit           | []                                           | MALFORMED_REQUEST
                    POST | submit           | {'operation':'op','basedOn':0}               | MALFORMED_REQUEST
                    POST | submit           | {'operation':'a b','basedOn':0,'record':{}}  | MALFORMED_REQUEST
                    POST | submit           | {'operation':'op','basedOn':-1,'record':{}}  | MALFORMED_REQUEST
                    POST | submit           | {'operation':'op','basedOn':0,'kind':'x','name':'a','record':{}} \
                    | MALFORMED_REQUEST
                    POST | submit           | {'operation':'op','basedOn':0,'kind':'key','name':'/','record':{}} \
                    | MALFORMED_REQUEST
                    POST | submit           | {'operation':'op','basedOn':0,'kind':'key','name':'a','record':{}} \
                    | RECORD_INVALID
                    POST | withdraw         | {'operation':'op','basedOn':0,'kind':'key','name':'a'} | RECORD_UNKNOWN
                    POST | validate         | {'records':[{'kind':'key','name':'a','record':{'schemaVersion':9}}]} \
                    | SCHEMA_VERSION_UNKNOWN
                    GET  | records/x        |                                              | MALFORMED_REQUEST
                    GET  | history?kind=key |                                              | MALFORMED_REQUEST
                    GET  | submit           |                                              | UNKNOWN_PATH
                    """)
    void invalidInputGetsItsResultCodeAndChangesNothing(String method, String path, String body, ResultCode code)
            throws Exception {
        JsonNode answer = call("operator", method, path, body);
        assertThat(code(answer)).isEqualTo(code.number());
        assertThat(answer.path("error").path("message").asText()).isNotBlank();
        assertThat(configuration.current().revision()).isZero();
    }

    @Test
    void aBodyAboveTheLimitIsRefused() throws Exception {
        String body = "{'operation':'" + "x".repeat(10_000) + "'}";
        assertThat(code(call("operator", "POST", "submit", body))).isEqualTo(ResultCode.BODY_TOO_LARGE.number());
    }

    @Test
    void aDrainingEntryRefusesSubmissions() throws Exception {
        submitter.close();
        assertThat(code(call("operator", "POST", "submit", ACCOUNT))).isEqualTo(ResultCode.DRAINING.number());
    }

    @Test
    void anUnavailableTableIsReported() throws Exception {
        table.setUnavailable(true);
        JsonNode answer = call("operator", "POST", "submit", ACCOUNT);
        assertThat(code(answer)).isEqualTo(ResultCode.STORE_UNAVAILABLE.number());
        assertThat(answer.path("error").path("ran").asText()).isEqualTo("no");
    }
}
