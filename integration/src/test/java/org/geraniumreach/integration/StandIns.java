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

/** The stand-ins of one test: platform, engines, one plain service. Confined to the test. */
final class StandIns implements AutoCloseable {

    static final int OBJECTS = 1;
    static final int WEIGHTS = 2;
    static final int LIST = 3;
    private static final int ADMINISTRATION = 4;
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String MAIN = "org.geraniumreach.standins.Main";

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final List<JavaProcess> processes = new ArrayList<>();
    private final int platformPort;
    private final int enginesAdministration;
    private final int serviceAdministration;
    private final int servicePort;
    private final List<Integer> enginePorts = new ArrayList<>();

    private StandIns(Ports ports, int engines) {
        this.platformPort = ports.take(5);
        this.enginesAdministration = ports.take(1);
        this.serviceAdministration = ports.take(1);
        this.servicePort = ports.take(1);
        for (int engine = 0; engine < engines; engine++) {
            enginePorts.add(ports.take(1));
        }
    }

    static StandIns start(Ports ports, int engines, Path directory, String... engineOptions) throws Exception {
        StandIns started = new StandIns(ports, engines);
        try {
            started.startAll(directory, engineOptions);
            return started;
        } catch (Exception failed) {
            started.close();
            throw failed;
        }
    }

    private void startAll(Path directory, String... engineOptions) throws Exception {
        processes.add(JavaProcess.start(
                "standins",
                MAIN,
                directory.resolve("platform.log"),
                "platform",
                "--port",
                Integer.toString(platformPort),
                "--list-lag-millis",
                "300"));
        List<String> engine = new ArrayList<>(List.of(
                "engine",
                "--ports",
                String.join(",", enginePorts.stream().map(String::valueOf).toList()),
                "--admin-port",
                Integer.toString(enginesAdministration),
                "--weights",
                "http://127.0.0.1:" + (platformPort + WEIGHTS)));
        engine.addAll(List.of(engineOptions));
        processes.add(
                JavaProcess.start("standins", MAIN, directory.resolve("engines.log"), engine.toArray(String[]::new)));
        processes.add(JavaProcess.start(
                "standins",
                MAIN,
                directory.resolve("service.log"),
                "service",
                "--ports",
                Integer.toString(servicePort),
                "--admin-port",
                Integer.toString(serviceAdministration),
                "--latency-millis",
                "400"));
        for (int administration : List.of(administration(), enginesAdministration, serviceAdministration)) {
            Eventually.until("stand-ins answer", () -> get(administration, "/admin/parts") != null);
        }
    }

    int port(int offset) {
        return platformPort + offset;
    }

    private int administration() {
        return platformPort + ADMINISTRATION;
    }

    int enginePort(int engine) {
        return enginePorts.get(engine);
    }

    int servicePort() {
        return servicePort;
    }

    void register(String list) throws IOException, InterruptedException {
        post(administration(), "/admin/instances?part=list", list);
    }

    void platformFault(String part, String fault) throws IOException, InterruptedException {
        post(administration(), "/admin/faults?part=" + part, fault);
    }

    void engineFault(int engine, String fault) throws IOException, InterruptedException {
        post(enginesAdministration, "/admin/faults?part=engine-" + enginePort(engine), fault);
    }

    void serviceFault(String fault) throws IOException, InterruptedException {
        post(serviceAdministration, "/admin/faults?part=service-" + servicePort, fault);
    }

    void restartEngine(int engine) throws IOException, InterruptedException {
        post(enginesAdministration, "/admin/restart?part=engine-" + enginePort(engine), "{}");
    }

    /** Counts the runs of the plain service whose request holds a text. */
    long runsHolding(String text) throws IOException, InterruptedException {
        long runs = 0;
        for (JsonNode run : get(servicePort, "/v1/ran").path("runs")) {
            runs += run.toString().contains(text) ? 1 : 0;
        }
        return runs;
    }

    List<JsonNode> ranOnEngines() throws IOException, InterruptedException {
        List<JsonNode> ran = new ArrayList<>();
        for (int port : enginePorts) {
            get(port, "/v1/ran").path("streams").forEach(ran::add);
        }
        return ran;
    }

    JsonNode engineState(int engine) throws IOException, InterruptedException {
        return get(enginePort(engine), "/v1/state");
    }

    private JsonNode get(int port, String path) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .build();
        return answer(request);
    }

    private JsonNode post(int port, String path, String body) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return answer(request);
    }

    private JsonNode answer(HttpRequest request) throws IOException, InterruptedException {
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
