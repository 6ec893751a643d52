package org.geraniumreach.standins.http;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The port that administers the stand-ins of one process; it shows no faults itself.
 *
 * <p>Immutable and safe for use by several threads.
 */
public final class Administration {

    private static final String PART_PARAMETER = "part";

    private final List<StandIn> parts;

    private Administration(List<StandIn> parts) {
        this.parts = List.copyOf(parts);
    }

    /**
     * Starts the port.
     *
     * @param port the port
     * @param parts the stand-ins, not null
     * @param timer delays answers, not null
     * @return the server, listening, not null
     * @throws IOException if the port cannot be had
     */
    public static StandInServer start(int port, List<StandIn> parts, ScheduledExecutorService timer)
            throws IOException {
        Administration administration = new Administration(parts);
        return StandInServer.start("administration", port, (call, faults) -> administration.handle(call), timer);
    }

    private CompletionStage<Answer> handle(Call call) throws IOException {
        if (call.route().equals("GET /admin/parts")) {
            return Answer.of(names()).toCompletedStage();
        }
        Optional<StandIn> part = find(call);
        if (part.isEmpty()) {
            return Answer.malformed("no such part; one of " + names()).toCompletedStage();
        }
        return handle(call, part.get());
    }

    private CompletionStage<Answer> handle(Call call, StandIn part) throws IOException {
        switch (call.route()) {
            case "GET /admin/faults" -> {
                return Answer.of(Call.JSON.valueToTree(part.server().faults())).toCompletedStage();
            }
            case "POST /admin/faults" -> part.server().setFaults(Call.JSON.treeToValue(call.json(), Faults.class));
            case "POST /admin/silence" -> part.server().silenceConnections();
            case "POST /admin/restart" -> part.restart();
            default -> {
                return part.administer(call);
            }
        }
        return Answer.of(Call.JSON.createObjectNode().put("done", true)).toCompletedStage();
    }

    private Optional<StandIn> find(Call call) {
        Optional<String> name = call.parameter(PART_PARAMETER);
        if (name.isEmpty() && parts.size() == 1) {
            return Optional.of(parts.get(0));
        }
        return parts.stream()
                .filter(part -> name.equals(Optional.of(part.server().name())))
                .findFirst();
    }

    private ObjectNode names() {
        ObjectNode json = Call.JSON.createObjectNode();
        parts.forEach(part -> json.withArray("parts").add(part.server().name()));
        return json;
    }
}
