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
 * Runs two entries, a companion for each engine and one for the plain service as separate processes.
 *
 * <p>Each link to a companion passes through a relay, so that a test can disconnect it or stop its traffic. Confined to the
 * test.
 */
final class TestSystem implements AutoCloseable {

    static final String ACCOUNT = "floor";
    static final String KEY = "floor-key-0123456789abcdef0123456789abcdef";
    /** The model of start-up probes, used by no test: an entry learns with a delay that a companion accepts work. */
    private static final String WARM_UP_MODEL = "adapter-3@v1";

    private static final String OPERATOR_CREDENTIAL = "operator-credential-0123456789abcdef";
    private static final String DAEMON_MAIN_CLASS = "org.geraniumreach.daemon.Main";

    private final Path directory;
    private final StandIns standIns;
    private final int engines;
    private final Ports ports;
    private final Map<String, JavaProcess> processes = new HashMap<>();
    private final Map<String, Relay> relays = new HashMap<>();
    private final Map<String, Integer> callerPorts = new HashMap<>();
    private final Map<String, Integer> operatorPorts = new HashMap<>();
    private final Map<String, Integer> managementPorts = new HashMap<>();
    private final List<String> registrations = new ArrayList<>();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private TestSystem(Path directory, StandIns standIns, int engines, Ports ports) {
        this.directory = directory;
        this.standIns = standIns;
        this.engines = engines;
        this.ports = ports;
    }

    /** Starts all processes and waits until both entries can reach all companions. */
    static TestSystem start(Path directory, int engines, String... engineOptions) throws Exception {
        Ports ports = new Ports();
        StandIns standIns = StandIns.start(ports, engines, directory, engineOptions);
        TestSystem system = new TestSystem(directory, standIns, engines, ports);
        try {
            system.startAll();
            return system;
        } catch (Exception | AssertionError failure) {
            system.close();
            throw failure;
        }
    }

    private void startAll() throws Exception {
        Files.writeString(directory.resolve("credential"), OPERATOR_CREDENTIAL);
        startEntry("entry-1");
        startEntry("entry-2");
        for (int engine = 0; engine < engines; engine++) {
            startCompanion("companion-" + engine, "engine-" + engine, "engine", standIns.enginePort(engine));
        }
        startCompanion("companion-service", "service-0", "service", standIns.servicePort());
        registerInstances();
        Eventually.until(
                "entry-1 responds or has exited",
                () -> !process("entry-1").isAlive() || status("entry-1").contains("\"ready\":true"));
        if (!process("entry-1").isAlive()) {
            throw new AssertionError("entry-1 exited: " + log("entry-1"));
        }
        submit(initialRecords());
        awaitReady();
    }

    private void awaitReady() throws Exception {
        for (String instance : managementPorts.keySet()) {
            Eventually.until(instance + " ready", () -> statusCode(managementPorts.get(instance), "/readyz") == 200);
        }
        for (String entry : operatorPorts.keySet()) {
            Eventually.until(entry + " linked with all companions", () -> {
                String status = status(entry);
                return !status.contains("\"linked\":false")
                        && status.split("\"linked\":true", -1).length == managementPorts.size();
            });
            Eventually.until(
                    entry + " serves",
                    () -> caller(entry).complete(WARM_UP_MODEL, "warm-up", 1).finished()
                            && caller(entry)
                                            .book("warm-up-" + entry, "{\"card\":\"warm-up\"}")
                                            .status()
                                    == 200);
        }
    }

    void startEntry(String name) throws IOException {
        int linkPort = ports.allocate(1);
        callerPorts.put(name, ports.allocate(1));
        operatorPorts.put(name, ports.allocate(1));
        managementPorts.put(name, ports.allocate(1));
        String yaml = nodeSettings("entry", name, linkPort)
                + "callers: 127.0.0.1:" + callerPorts.get(name) + "\n"
                + "operator: {address: '127.0.0.1:" + operatorPorts.get(name) + "', credentialDigest: "
                + KeyDigest.ofSecret(OPERATOR_CREDENTIAL).toHexadecimal() + "}\n"
                + "requests: {bytesPerToken: 4, deadline: 30s}\n"
                + "budget: {leaseRenewal: 500ms, proofLimit: 2s, listLag: 500ms, quarantine: 8s, scanInterval: 200ms}\n"
                + "ledger: {patience: 5s, takeoverAge: 2s, clockError: 200ms}\n";
        start(name, "entry", yaml);
        registrations.add(registration(name, "entry", linkPort));
    }

    void startCompanion(String name, String target, String kind, int targetPort) throws IOException {
        int linkPort = ports.allocate(1);
        managementPorts.put(name, ports.allocate(1));
        String yaml = nodeSettings("companion", name, linkPort) + "target: {name: " + target + ", kind: " + kind
                + ", address: '127.0.0.1:" + targetPort + "'}\n";
        start(name, "companion", yaml);
        Relay relay = Relay.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), linkPort));
        relays.put(name, relay);
        registrations.add(registration(name, "companion", relay.port()));
    }

    private void start(String name, String role, String yaml) throws IOException {
        Path settings = Files.writeString(directory.resolve(name + ".yaml"), yaml);
        processes.put(
                name,
                JavaProcess.start(
                        "daemon",
                        DAEMON_MAIN_CLASS,
                        directory.resolve(name + ".log"),
                        role,
                        "--settings",
                        settings.toString()));
    }

    private String nodeSettings(String role, String name, int linkPort) {
        return "role: " + role + "\n"
                + "node: {instance: " + name + ", failureDomain: domain-1, link: '127.0.0.1:" + linkPort
                + "', management: '127.0.0.1:" + managementPorts.get(name) + "', drainLimit: 30s}\n"
                + "log: {level: debug}\n"
                + "platform: {table: '127.0.0.1:" + standIns.platformPort(0) + "', objects: '127.0.0.1:"
                + standIns.platformPort(StandIns.OBJECTS_PORT_OFFSET) + "', list: '127.0.0.1:"
                + standIns.platformPort(StandIns.LIST_PORT_OFFSET)
                + "', callLimit: 1s}\n"
                + "links: {pingInterval: 200ms}\n"
                + "membership: {readInterval: 200ms}\n"
                + "configuration: {period: 200ms, freshnessLimit: 2s}\n";
    }

    private String registration(String name, String role, int linkPort) {
        return "{\"instance\":\"" + name + "\",\"role\":\"" + role
                + "\",\"failureDomain\":\"domain-1\",\"linkAddress\":\"127.0.0.1:" + linkPort
                + "\",\"healthUrl\":\"http://127.0.0.1:" + managementPorts.get(name) + "/healthz\"}";
    }

    void registerInstances() throws IOException, InterruptedException {
        standIns.registerInstances("[" + String.join(",", registrations) + "]");
    }

    private String initialRecords() {
        StringBuilder records = new StringBuilder();
        appendRecord(
                records,
                "account",
                ACCOUNT,
                "schemaVersion: 2, tokensPerSecond: 100000, burstTokens: 100000, priority: 5");
        appendRecord(
                records,
                "key",
                "floor-key",
                "schemaVersion: 1, account: floor, digest: "
                        + KeyDigest.ofSecret(KEY).toHexadecimal());
        for (int adapter = 0; adapter < 4; adapter++) {
            appendRecord(records, "adapter", "adapter-" + adapter, "schemaVersion: 1, baseModel: base, versions: [v1]");
        }
        appendRecord(
                records,
                "assignment",
                "floor-all",
                "schemaVersion: 2, account: floor, adapters: [adapter-0, adapter-1, adapter-2, adapter-3]");
        appendRecord(
                records, "service", "cards", "schemaVersion: 1, operations: {book: {repeatable: false, tokens: 1}}");
        for (int engine = 0; engine < engines; engine++) {
            appendRecord(
                    records,
                    "target",
                    "engine-" + engine,
                    "schemaVersion: 1, failureDomain: domain-1, baseModel: base, slots: 4, checksFence: true");
        }
        appendRecord(
                records,
                "target",
                "service-0",
                "schemaVersion: 1, failureDomain: domain-1, service: cards, checksFence: false");
        return records.toString();
    }

    private static void appendRecord(StringBuilder records, String kind, String name, String fields) {
        records.append("--- {kind: ")
                .append(kind)
                .append(", name: ")
                .append(name)
                .append(", ")
                .append(fields)
                .append("}\n");
    }

    void submit(String records) throws Exception {
        Path file = Files.writeString(directory.resolve("records.yaml"), records);
        runControl("submit", file.toString());
    }

    /** Runs the operator command line against the entries and fails unless it exits with 0. */
    void runControl(String... arguments) throws Exception {
        List<String> commandLine = new ArrayList<>();
        for (int port : operatorPorts.values()) {
            commandLine.addAll(List.of("--entry", "127.0.0.1:" + port));
        }
        commandLine.addAll(
                List.of("--credential-file", directory.resolve("credential").toString()));
        commandLine.addAll(List.of(arguments));
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        PrintStream print = new PrintStream(output, true, StandardCharsets.UTF_8);
        int code = TestControl.run(print, commandLine.toArray(String[]::new));
        if (code != 0) {
            throw new AssertionError("control exited with " + code + ": " + output.toString(StandardCharsets.UTF_8));
        }
    }

    String status(String entry) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + operatorPorts.get(entry) + "/operator/v1/status"))
                .header("Authorization", "Bearer " + OPERATOR_CREDENTIAL)
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString()).body();
    }

    private int statusCode(int port, String path) throws IOException, InterruptedException {
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
        return new Caller(callerPorts.get(entry), KEY);
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
