package org.geraniumreach.standins.http;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The HTTP server that administers the stand-ins of one process. It injects no faults into its own answers.
 *
 * <p>Immutable and safe for use by several threads.
 */
public final class Administration {

    private static final String PART_PARAMETER = "part";

    private final List<StandIn> standIns;

    private Administration(List<StandIn> standIns) {
        this.standIns = List.copyOf(standIns);
    }

    /**
     * Starts the administration server.
     *
     * @param port the port to listen on
     * @param standIns the stand-ins, not null
     * @param timer runs delayed tasks, not null
     * @return the server, listening, not null
     * @throws IOException if the port cannot be bound
     */
    public static StandInServer start(int port, List<StandIn> standIns, ScheduledExecutorService timer)
            throws IOException {
        Administration administration = new Administration(standIns);
        return StandInServer.start("administration", port, (call, faults) -> administration.handle(call), timer);
    }

    private CompletionStage<Answer> handle(Call call) throws IOException {
        if (call.route().equals("GET /admin/parts")) {
            return Answer.of(names()).toCompletedStage();
        }
        Optional<StandIn> standIn = find(call);
        if (standIn.isEmpty()) {
            return Answer.malformed("no such part; one of " + names()).toCompletedStage();
        }
        return handle(call, standIn.get());
    }

    private CompletionStage<Answer> handle(Call call, StandIn standIn) throws IOException {
        switch (call.route()) {
            case "GET /admin/faults" -> {
                return Answer.of(Call.JSON.valueToTree(standIn.server().faults()))
                        .toCompletedStage();
            }
            case "POST /admin/faults" -> standIn.server().setFaults(Call.JSON.treeToValue(call.json(), Faults.class));
            case "POST /admin/silence" -> standIn.server().silenceConnections();
            case "POST /admin/restart" -> standIn.restart();
            default -> {
                return standIn.administer(call);
            }
        }
        return Answer.of(Call.JSON.createObjectNode().put("done", true)).toCompletedStage();
    }

    private Optional<StandIn> find(Call call) {
        Optional<String> name = call.parameter(PART_PARAMETER);
        if (name.isEmpty() && standIns.size() == 1) {
            return Optional.of(standIns.get(0));
        }
        return standIns.stream()
                .filter(standIn -> name.equals(Optional.of(standIn.server().name())))
                .findFirst();
    }

    private ObjectNode names() {
        ObjectNode json = Call.JSON.createObjectNode();
        standIns.forEach(standIn -> json.withArray("parts").add(standIn.server().name()));
        return json;
    }
}
