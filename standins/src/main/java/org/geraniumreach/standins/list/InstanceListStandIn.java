package org.geraniumreach.standins.list;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.geraniumreach.standins.http.Answer;
import org.geraniumreach.standins.http.Call;
import org.geraniumreach.standins.http.StandIn;
import org.geraniumreach.standins.http.StandInServer;

/**
 * The stand-in for the instance list: probes registered instances and publishes the live ones with a lag.
 *
 * <p>An instance is listed from its first successful probe until a set number of consecutive probes have failed.
 * Invariant: the published list is the state known one lag earlier. Safe for use by several threads.
 */
public final class InstanceListStandIn implements StandIn {

    private static final long PROBE_INTERVAL_MILLIS = 250;
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);
    private static final int MAXIMUM_FAILED_PROBES = 4;
    private static final int OK = 200;

    private final Map<String, Registration> registrations = new ConcurrentSkipListMap<>();
    private final Map<String, Integer> failedProbes = new ConcurrentHashMap<>();
    private final Set<String> leaving = ConcurrentHashMap.newKeySet();
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(PROBE_TIMEOUT)
            .build();
    private final ScheduledExecutorService timer;
    private final long lagMillis;
    private final StandInServer server;
    private volatile ObjectNode publishedList = toJson(Map.of(), Set.of());

    /**
     * Starts the instance list and its HTTP server.
     *
     * @param port the port to listen on
     * @param lagMillis the delay before a change is published, in milliseconds
     * @param timer runs the probes and delayed tasks, not null
     * @throws IOException if the port cannot be bound
     */
    public InstanceListStandIn(int port, long lagMillis, ScheduledExecutorService timer) throws IOException {
        this.timer = timer;
        this.lagMillis = lagMillis;
        this.server = StandInServer.start("list", port, (call, faults) -> handle(call), timer);
        timer.scheduleAtFixedRate(this::probe, PROBE_INTERVAL_MILLIS, PROBE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public StandInServer server() {
        return server;
    }

    private CompletionStage<Answer> handle(Call call) {
        if (!call.route().equals("GET /v1/instances")) {
            return Answer.unknownPath(call).toCompletedStage();
        }
        return Answer.of(publishedList).toCompletedStage();
    }

    @Override
    public CompletionStage<Answer> administer(Call call) throws IOException {
        switch (call.route()) {
            case "POST /admin/instances" -> register(call.json());
            case "POST /admin/leaving" -> setLeaving(call.json());
            default -> {
                return Answer.unknownPath(call).toCompletedStage();
            }
        }
        return Answer.of(Call.JSON.createObjectNode().put("registered", registrations.size()))
                .toCompletedStage();
    }

    private void register(JsonNode json) throws IOException {
        for (JsonNode instance : json) {
            Registration registration = Call.JSON.treeToValue(instance, Registration.class);
            registrations.put(registration.instance(), registration);
        }
    }

    private void setLeaving(JsonNode json) {
        String instance = json.path("instance").asText();
        if (json.path("leaving").asBoolean(true)) {
            leaving.add(instance);
        } else {
            leaving.remove(instance);
        }
    }

    private void probe() {
        registrations.values().forEach(this::probe);
        ObjectNode current = toJson(live(), leaving);
        timer.schedule(() -> publishedList = current, lagMillis, TimeUnit.MILLISECONDS);
    }

    private void probe(Registration registration) {
        HttpRequest request = HttpRequest.newBuilder(registration.healthUrl())
                .timeout(PROBE_TIMEOUT)
                .build();
        client.sendAsync(request, BodyHandlers.discarding()).whenComplete((response, failure) -> {
            if (failure == null && response.statusCode() == OK) {
                failedProbes.put(registration.instance(), 0);
                return;
            }
            failedProbes.computeIfPresent(registration.instance(), (name, failed) -> failed + 1);
        });
    }

    private Map<String, Registration> live() {
        Map<String, Registration> live = new TreeMap<>(registrations);
        live.keySet()
                .removeIf(instance ->
                        failedProbes.getOrDefault(instance, MAXIMUM_FAILED_PROBES) >= MAXIMUM_FAILED_PROBES);
        return live;
    }

    private static ObjectNode toJson(Map<String, Registration> live, Set<String> leaving) {
        ObjectNode json = Call.JSON.createObjectNode();
        ArrayNode instances = json.putArray("instances");
        for (Registration registration : live.values()) {
            instances
                    .addObject()
                    .put("instance", registration.instance())
                    .put("role", registration.role())
                    .put("failureDomain", registration.failureDomain())
                    .put("linkAddress", registration.linkAddress())
                    .put("leaving", leaving.contains(registration.instance()));
        }
        return json;
    }
}
