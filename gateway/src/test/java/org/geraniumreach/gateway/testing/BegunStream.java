package org.geraniumreach.gateway.testing;

import java.util.Optional;

import org.geraniumreach.gateway.request.GatewayRequest;
import org.geraniumreach.gateway.testing.FakeTargets.SentRequest;

/**
 * A stream of which a target has sent the head and {@link #FIRST_EVENT}, and nothing more unless a test lets it.
 *
 * @param answer what the caller receives
 * @param sent the request at the target
 */
public record BegunStream(RecordedAnswer answer, SentRequest sent) {

    public static final String FIRST_EVENT = "id: 1\ndata: x\n\n";

    /** Sends a request without generation, whose target begins the stream. */
    public static BegunStream start(RequestHarness world) {
        return start(world, Optional.empty());
    }

    public static BegunStream start(RequestHarness world, Optional<GatewayRequest.Generation> generation) {
        RecordedAnswer answer = world.send(generation);
        SentRequest sent = world.targets().lastRequest();
        begin(sent);
        return new BegunStream(answer, sent);
    }

    /** Lets a target begin the stream that was requested. */
    public static void begin(SentRequest sent) {
        sent.answerHead(200, true);
        sent.answerPart(FIRST_EVENT);
    }
}
