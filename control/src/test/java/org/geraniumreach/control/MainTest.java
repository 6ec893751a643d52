package org.geraniumreach.control;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.geraniumreach.model.KeyDigest;
import org.geraniumreach.model.ResultCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class MainTest {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String ACCEPTED_RESPONSE =
            "{\"result\":\"OK\",\"otherEntries\":1,\"operation\":\"op\",\"change\":{\"revision\":8,\"kind\":\"account\","
                    + "\"name\":\"acme\",\"withdrawn\":false}}";
    private static final String TWO_RECORDS =
            """
            {kind: account, name: acme, schemaVersion: 1, rate: 1, burst: 1}
            ---
            {kind: account, name: other, schemaVersion: 1, rate: 1, burst: 1}
            """;

    @TempDir
    private Path directory;

    private final List<String> requests = Collections.synchronizedList(new ArrayList<>());
    private final List<JsonNode> bodies = Collections.synchronizedList(new ArrayList<>());
    private final Deque<String> responses = new ArrayDeque<>();
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream error = new ByteArrayOutputStream();
    private HttpServer entry;
    private String address;
    private Path records;

    @BeforeEach
    void start() throws IOException {
        entry = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        entry.createContext("/", this::handle);
        entry.start();
        address = "127.0.0.1:" + entry.getAddress().getPort();
        records = Files.writeString(directory.resolve("records.yaml"), TWO_RECORDS);
    }

    @AfterEach
    void stop() {
        entry.stop(0);
    }

    private synchronized void handle(HttpExchange exchange) throws IOException {
        requests.add(exchange.getRequestMethod() + " " + exchange.getRequestURI());
        byte[] body = exchange.getRequestBody().readAllBytes();
        if (body.length > 0) {
            bodies.add(MAPPER.readTree(body));
        }
        String response = responses.isEmpty() ? "{\"revision\":7}" : responses.remove();
        if (response.equals("broken off")) {
            exchange.close();
            return;
        }
        byte[] bytes = response.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(200, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private static String errorResponse(ResultCode code) {
        return "{\"error\":{\"code\":" + code.number() + ",\"message\":\"because\"}}";
    }

    private int run(String... arguments) {
        return Main.run(arguments, new PrintStream(out, true), new PrintStream(error, true));
    }

    /*
     * Failure: a change is applied twice because the client retries at a second entry after losing the response of the
     * first. Both requests must carry the same operation id.
     */
    @Test
    void theNextEntryIsAskedUnderTheSameOperationId() throws IOException {
        responses.addAll(List.of("{\"revision\":7}", "broken off", ACCEPTED_RESPONSE, ACCEPTED_RESPONSE));
        assertThat(run("submit", records.toString(), "--entry", address, "--entry", address))
                .isEqualTo(ExitCode.OK.number());
        List<String> operations =
                bodies.stream().map(body -> body.path("operation").asText()).toList();
        assertThat(operations).hasSize(3);
        assertThat(operations.get(0)).isEqualTo(operations.get(1)).isNotEqualTo(operations.get(2));
        assertThat(bodies).allMatch(body -> body.path("basedOn").asLong() == 7);
    }

    @Test
    void anUnreachableEntryIsSkipped() throws IOException {
        String unreachable;
        try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            unreachable = "127.0.0.1:" + unused.getLocalPort();
        }
        assertThat(run("status", "--entry", unreachable, "--entry", address)).isEqualTo(ExitCode.OK.number());
        assertThat(run("status", "--entry", unreachable)).isEqualTo(ExitCode.UNREACHABLE.number());
    }

    /*
     * Failure: the operator is told that nothing changed because the second entry was unreachable, although the first may
     * have made the change before its response was lost.
     */
    @Test
    void aLostResponseStaysUnsettledWhenTheNextEntryIsDown() throws IOException {
        String unreachable;
        try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            unreachable = "127.0.0.1:" + unused.getLocalPort();
        }
        responses.add("broken off");
        responses.add("broken off");
        assertThat(run("withdraw", "key", "k", "--based-on", "3", "--entry", address, "--entry", unreachable))
                .isEqualTo(ExitCode.UNSETTLED.number());
    }

    @ParameterizedTest
    @CsvSource({
        "CONFLICT, 3",
        "OPERATOR_REFUSED, 4",
        "STORE_UNAVAILABLE, 5",
        "SUBMISSION_UNSETTLED, 6",
        "RECORD_UNKNOWN, 7",
        "RECORD_INVALID, 2",
        "REFERENCE_DANGLING, 2",
        "INTERNAL_ERROR, 9"
    })
    void theExitCodeMatchesTheResultCode(ResultCode code, int exitCode) {
        responses.addAll(List.of("{\"revision\":7}", errorResponse(code)));
        assertThat(run("submit", records.toString(), "--entry", address, "--operation", "op"))
                .isEqualTo(exitCode);
        assertThat(error.toString()).contains("error " + code.number(), "0 of 2 records", "--operation op");
    }

    /*
     * Failure: only part of a file takes effect, because the first records were submitted before an invalid later one was
     * read.
     */
    @Test
    void aFileWithAnInvalidRecordIsNotSubmittedAtAll() throws IOException {
        Files.writeString(records, TWO_RECORDS + "---\n{kind: account, name: third, schemaVersion: 1}\n");
        assertThat(run("submit", records.toString(), "--entry", address)).isEqualTo(ExitCode.INVALID.number());
        assertThat(requests).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({
        "''",
        "nothing",
        "submit",
        "submit /nowhere/at/all.yaml",
        "list",
        "list nothing",
        "show key",
        "show key a/b",
        "key",
        "key new k",
        "status more",
        "status --entry not an entry",
        "status --output xml",
        "withdraw key k --operation a/b",
        "withdraw key k --based-on -4"
    })
    void anInvalidCommandLineExitsWithTheUsageCode(String line) {
        assertThat(run(line.isEmpty() ? new String[0] : line.split(" "))).isEqualTo(ExitCode.USAGE.number());
        assertThat(error.toString()).isNotBlank();
    }

    @Test
    void aNewKeyIsPrintedWithTheDigestOfItsSecret() throws IOException {
        assertThat(run("key", "new", "k1", "--account", "acme", "--output", "json"))
                .isEqualTo(ExitCode.OK.number());
        JsonNode printed = MAPPER.readTree(out.toString());
        String secret = printed.path("secret").asText();
        assertThat(secret).hasSize(64);
        assertThat(printed.path("record").path("digest").asText())
                .isEqualTo(KeyDigest.ofSecret(secret).toHexadecimal());
        assertThat(requests).isEmpty();
    }

    @Test
    void theCredentialIsReadFromItsFileAndNeverPrinted() throws IOException {
        Path credential = Files.writeString(directory.resolve("credential"), "very-secret\n");
        responses.add(errorResponse(ResultCode.OPERATOR_REFUSED));
        run("status", "--entry", address, "--credential-file", credential.toString());
        assertThat(out.toString() + error).doesNotContain("very-secret");
    }
}
