package org.geraniumreach.integration;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Runs the stand-ins of one test: the platform, the engines and a plain service. Confined to the test. */
final class StandIns implements AutoCloseable {

    static final int OBJECTS_PORT_OFFSET = 1;
    static final int WEIGHTS_PORT_OFFSET = 2;
    static final int LIST_PORT_OFFSET = 3;
    private static final int ADMINISTRATION_PORT_OFFSET = 4;
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String MAIN_CLASS = "org.geraniumreach.standins.Main";

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final List<JavaProcess> processes = new ArrayList<>();
    private JavaProcess engineProcess;
    private final int platformPort;
    private final int engineAdministrationPort;
    private final int serviceAdministrationPort;
    private final int servicePort;
    private final List<Integer> enginePorts = new ArrayList<>();

    private StandIns(Ports ports, int engines) {
        this.platformPort = ports.allocate(5);
        this.engineAdministrationPort = ports.allocate(1);
        this.serviceAdministrationPort = ports.allocate(1);
        this.servicePort = ports.allocate(1);
        for (int engine = 0; engine < engines; engine++) {
            enginePorts.add(ports.allocate(1));
        }
    }

    static StandIns start(Ports ports, int engines, Path directory, String... engineOptions) throws Exception {
        StandIns standIns = new StandIns(ports, engines);
        try {
            standIns.startAll(directory, engineOptions);
            return standIns;
        } catch (Exception failure) {
            standIns.close();
            throw failure;
        }
    }

    private void startAll(Path directory, String... engineOptions) throws Exception {
        processes.add(JavaProcess.start(
                "standins",
                MAIN_CLASS,
                directory.resolve("platform.log"),
                "platform",
                "--port",
                Integer.toString(platformPort),
                "--list-lag-millis",
                "300"));
        List<String> engineArguments = new ArrayList<>(List.of(
                "engine",
                "--ports",
                String.join(",", enginePorts.stream().map(String::valueOf).toList()),
                "--admin-port",
                Integer.toString(engineAdministrationPort),
                "--weights",
                "http://127.0.0.1:" + (platformPort + WEIGHTS_PORT_OFFSET)));
        engineArguments.addAll(List.of(engineOptions));
        engineProcess = JavaProcess.start(
                "standins", MAIN_CLASS, directory.resolve("engines.log"), engineArguments.toArray(String[]::new));
        processes.add(engineProcess);
        processes.add(JavaProcess.start(
                "standins",
                MAIN_CLASS,
                directory.resolve("service.log"),
                "service",
                "--ports",
                Integer.toString(servicePort),
                "--admin-port",
                Integer.toString(serviceAdministrationPort),
                "--latency-millis",
                "400"));
        for (int port : List.of(administrationPort(), engineAdministrationPort, serviceAdministrationPort)) {
            Eventually.until("stand-ins respond", () -> get(port, "/admin/parts") != null);
        }
    }

    int platformPort(int offset) {
        return platformPort + offset;
    }

    private int administrationPort() {
        return platformPort + ADMINISTRATION_PORT_OFFSET;
    }

    int enginePort(int engine) {
        return enginePorts.get(engine);
    }

    int servicePort() {
        return servicePort;
    }

    void registerInstances(String list) throws IOException, InterruptedException {
        post(administrationPort(), "/admin/instances?part=list", list);
    }

    void setPlatformFault(String part, String fault) throws IOException, InterruptedException {
        post(administrationPort(), "/admin/faults?part=" + part, fault);
    }

    void setEngineFault(int engine, String fault) throws IOException, InterruptedException {
        post(engineAdministrationPort, "/admin/faults?part=engine-" + enginePort(engine), fault);
    }

    void setServiceFault(String fault) throws IOException, InterruptedException {
        post(serviceAdministrationPort, "/admin/faults?part=service-" + servicePort, fault);
    }

    void restartEngine(int engine) throws IOException, InterruptedException {
        post(engineAdministrationPort, "/admin/restart?part=engine-" + enginePort(engine), "{}");
    }

    /** Gets the process that runs all engines. */
    JavaProcess engineProcess() {
        return engineProcess;
    }

    /** Returns the number of runs of the plain service whose request contains a text. */
    long countServiceRunsContaining(String text) throws IOException, InterruptedException {
        long runs = 0;
        for (JsonNode run : get(servicePort, "/v1/ran").path("runs")) {
            runs += run.toString().contains(text) ? 1 : 0;
        }
        return runs;
    }

    List<JsonNode> engineRuns() throws IOException, InterruptedException {
        List<JsonNode> runs = new ArrayList<>();
        for (int port : enginePorts) {
            get(port, "/v1/ran").path("streams").forEach(runs::add);
        }
        return runs;
    }

    JsonNode engineState(int engine) throws IOException, InterruptedException {
        return get(enginePort(engine), "/v1/state");
    }

    private JsonNode get(int port, String path) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .build();
        return sendForJson(request);
    }

    private JsonNode post(int port, String path, String body) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return sendForJson(request);
    }

    private JsonNode sendForJson(HttpRequest request) throws IOException, InterruptedException {
        HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
        if (response.statusCode() != 200) {
            throw new IOException(request.uri() + ": " + response.statusCode() + " " + response.body());
        }
        return MAPPER.readTree(response.body());
    }

    @Override
    public void close() throws InterruptedException {
        for (JavaProcess process : processes) {
            process.close();
        }
    }
}
