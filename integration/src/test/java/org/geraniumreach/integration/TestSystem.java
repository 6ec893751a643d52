package org.geraniumreach.integration;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.geraniumreach.control.TestControl;
import org.geraniumreach.model.KeyDigest;

/**
 * Two entries, a companion beside each engine and one beside the plain service, as processes. Confined to the test.
 *
 * <p>Each link to a companion goes through a relay, so that a test can cut or silence it.
 */
final class TestSystem implements AutoCloseable {

    static final String ACCOUNT = "floor";
    static final String KEY = "floor-key-0123456789abcdef0123456789abcdef";
    /** An adapter that only the start of a test uses: an entry hears a moment late that a companion takes work. */
    private static final String WARM_UP = "adapter-3@v1";

    private static final String CREDENTIAL = "operator-credential-0123456789abcdef";
    private static final String DAEMON = "org.geraniumreach.daemon.Main";

    private final Path directory;
    private final StandIns standIns;
    private final int engines;
    private final Ports ports;
    private final Map<String, JavaProcess> processes = new HashMap<>();
    private final Map<String, Relay> relays = new HashMap<>();
    private final Map<String, Integer> callers = new HashMap<>();
    private final Map<String, Integer> operators = new HashMap<>();
    private final Map<String, Integer> management = new HashMap<>();
    private final List<String> listed = new ArrayList<>();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private TestSystem(Path directory, StandIns standIns, int engines, Ports ports) {
        this.directory = directory;
        this.standIns = standIns;
        this.engines = engines;
        this.ports = ports;
    }

    /** Starts everything, and waits until both entries can reach all companions. */
    static TestSystem start(Path directory, int engines, String... engineOptions) throws Exception {
        Ports ports = new Ports();
        StandIns standIns = StandIns.start(ports, engines, directory, engineOptions);
        TestSystem system = new TestSystem(directory, standIns, engines, ports);
        try {
            system.startAll();
            return system;
        } catch (Exception | AssertionError failed) {
            system.close();
            throw failed;
        }
    }

    private void startAll() throws Exception {
        Files.writeString(directory.resolve("credential"), CREDENTIAL);
        startEntry("entry-1");
        startEntry("entry-2");
        for (int engine = 0; engine < engines; engine++) {
            startCompanion("companion-" + engine, "engine-" + engine, "engine", standIns.enginePort(engine));
        }
        startCompanion("companion-service", "service-0", "service", standIns.servicePort());
        register();
        Eventually.until(
                "entry-1 answers or has ended",
                () -> !process("entry-1").isAlive() || status("entry-1").contains("\"ready\":true"));
        if (!process("entry-1").isAlive()) {
            throw new AssertionError("entry-1 has ended: " + log("entry-1"));
        }
        submit(records());
        awaitReady();
    }

    private void awaitReady() throws Exception {
        for (String instance : management.keySet()) {
            Eventually.until(instance + " ready", () -> get(management.get(instance), "/readyz") == 200);
        }
        for (String entry : operators.keySet()) {
            Eventually.until(entry + " linked with all", () -> {
                String status = status(entry);
                return !status.contains("\"linked\":false")
                        && status.split("\"linked\":true", -1).length == management.size();
            });
            Eventually.until(
                    entry + " serves",
                    () -> caller(entry).complete(WARM_UP, "warm-up", 1).whole()
                            && caller(entry)
                                            .book("warm-up-" + entry, "{\"card\":\"warm-up\"}")
                                            .status()
                                    == 200);
        }
    }

    void startEntry(String name) throws IOException {
        int link = ports.take(1);
        callers.put(name, ports.take(1));
        operators.put(name, ports.take(1));
        management.put(name, ports.take(1));
        String yaml = node("entry", name, link)
                + "callers: 127.0.0.1:" + callers.get(name) + "\n"
                + "operator: {address: '127.0.0.1:" + operators.get(name) + "', credentialDigest: "
                + KeyDigest.ofSecret(CREDENTIAL).toHexadecimal() + "}\n"
                + "requests: {bytesPerToken: 4, deadline: 30s}\n"
                + "budget: {leaseRenewal: 500ms, proofLimit: 2s, listLag: 500ms, quarantine: 8s, scanInterval: 200ms}\n"
                + "ledger: {patience: 5s, takeoverAge: 2s, clockError: 200ms}\n";
        start(name, "entry", yaml);
        listed.add(registration(name, "entry", link));
    }

    void startCompanion(String name, String target, String kind, int address) throws IOException {
        int link = ports.take(1);
        management.put(name, ports.take(1));
        String yaml = node("companion", name, link) + "target: {name: " + target + ", kind: " + kind
                + ", address: '127.0.0.1:" + address + "'}\n";
        start(name, "companion", yaml);
        Relay relay = Relay.to(new InetSocketAddress(InetAddress.getLoopbackAddress(), link));
        relays.put(name, relay);
        listed.add(registration(name, "companion", relay.port()));
    }

    private void start(String name, String role, String yaml) throws IOException {
        Path settings = Files.writeString(directory.resolve(name + ".yaml"), yaml);
        processes.put(
                name,
                JavaProcess.start(
                        "daemon", DAEMON, directory.resolve(name + ".log"), role, "--settings", settings.toString()));
    }

    private String node(String role, String name, int link) {
        return "role: " + role + "\n"
                + "node: {instance: " + name + ", failureDomain: domain-1, link: '127.0.0.1:" + link
                + "', management: '127.0.0.1:" + management.get(name) + "', drainLimit: 30s}\n"
                + "log: {level: debug}\n"
                + "platform: {table: '127.0.0.1:" + standIns.port(0) + "', objects: '127.0.0.1:"
                + standIns.port(StandIns.OBJECTS) + "', list: '127.0.0.1:" + standIns.port(StandIns.LIST)
                + "', callLimit: 1s}\n"
                + "links: {pingInterval: 200ms}\n"
                + "membership: {readInterval: 200ms}\n"
                + "configuration: {period: 200ms, freshnessLimit: 2s}\n";
    }

    private String registration(String name, String role, int link) {
        return "{\"instance\":\"" + name + "\",\"role\":\"" + role
                + "\",\"failureDomain\":\"domain-1\",\"linkAddress\":\"127.0.0.1:" + link
                + "\",\"healthUrl\":\"http://127.0.0.1:" + management.get(name) + "/healthz\"}";
    }

    void register() throws IOException, InterruptedException {
        standIns.register("[" + String.join(",", listed) + "]");
    }

    private String records() {
        StringBuilder records = new StringBuilder();
        record(
                records,
                "account",
                ACCOUNT,
                "schemaVersion: 2, tokensPerSecond: 100000, burstTokens: 100000, priority: 5");
        record(
                records,
                "key",
                "floor-key",
                "schemaVersion: 1, account: floor, digest: "
                        + KeyDigest.ofSecret(KEY).toHexadecimal());
        for (int adapter = 0; adapter < 4; adapter++) {
            record(records, "adapter", "adapter-" + adapter, "schemaVersion: 1, baseModel: base, versions: [v1]");
        }
        record(
                records,
                "assignment",
                "floor-all",
                "schemaVersion: 2, account: floor, adapters: [adapter-0, adapter-1, adapter-2, adapter-3]");
        record(records, "service", "cards", "schemaVersion: 1, operations: {book: {repeatable: false, tokens: 1}}");
        for (int engine = 0; engine < engines; engine++) {
            record(
                    records,
                    "target",
                    "engine-" + engine,
                    "schemaVersion: 1, failureDomain: domain-1, baseModel: base, slots: 4, checksFence: true");
        }
        record(
                records,
                "target",
                "service-0",
                "schemaVersion: 1, failureDomain: domain-1, service: cards, checksFence: false");
        return records.toString();
    }

    private static void record(StringBuilder records, String kind, String name, String rest) {
        records.append("--- {kind: ")
                .append(kind)
                .append(", name: ")
                .append(name)
                .append(", ")
                .append(rest)
                .append("}\n");
    }

    void submit(String records) throws Exception {
        Path file = Files.writeString(directory.resolve("records.yaml"), records);
        control("submit", file.toString());
    }

    /** Runs the operators' command line against both entries. */
    void control(String... arguments) throws Exception {
        List<String> line = new ArrayList<>();
        for (int port : operators.values()) {
            line.addAll(List.of("--entry", "127.0.0.1:" + port));
        }
        line.addAll(List.of("--credential-file", directory.resolve("credential").toString()));
        line.addAll(List.of(arguments));
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        PrintStream print = new PrintStream(output, true, StandardCharsets.UTF_8);
        int code = TestControl.run(print, line.toArray(String[]::new));
        if (code != 0) {
            throw new AssertionError("control ended with " + code + ": " + output.toString(StandardCharsets.UTF_8));
        }
    }

    String status(String entry) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + operators.get(entry) + "/operator/v1/status"))
                .header("Authorization", "Bearer " + CREDENTIAL)
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString()).body();
    }

    private int get(int port, String path) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    }

    String log(String instance) throws IOException {
        return Files.readString(directory.resolve(instance + ".log"));
    }

    StandIns standIns() {
        return standIns;
    }

    JavaProcess process(String instance) {
        return processes.get(instance);
    }

    Relay relay(String companion) {
        return relays.get(companion);
    }

    Caller caller(String entry) {
        return new Caller(callers.get(entry), KEY);
    }

    @Override
    public void close() throws Exception {
        for (JavaProcess process : processes.values()) {
            process.close();
        }
        for (Relay relay : relays.values()) {
            relay.close();
        }
        standIns.close();
    }
}
