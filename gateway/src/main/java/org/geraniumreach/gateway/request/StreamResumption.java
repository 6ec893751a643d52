package org.geraniumreach.gateway.request;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.stream.OriginAnswer;
import org.geraniumreach.gateway.stream.StreamKey;
import org.geraniumreach.gateway.stream.StreamOrigin;
import org.geraniumreach.gateway.traffic.Account;
import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.geraniumreach.gateway.traffic.Route;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.serving.routing.Rendezvous;

/**
 * Finds out at which service and software version a stream goes on that a caller takes up again.
 *
 * <p>Confined to the event loop.
 */
final class StreamResumption {

    /** Two to the power of -32. */
    private static final double HASH_TO_FRACTION = 0x1p-32;

    private final ExchangeServices services;

    StreamResumption(ExchangeServices services) {
        this.services = Objects.requireNonNull(services, "services");
    }

    /** Queries whether a request takes up a stream of which the caller has events. */
    static boolean isResumption(GatewayRequest request, Route route) {
        return route.retryPolicy() == RetryPolicy.RESUMABLE_STREAM
                && request.lastEvent().orElse(0) > 0;
    }

    /**
     * Draws a number by which the service of a stream is chosen, the same at each entry and each time its caller comes back.
     *
     * @param request the request, not null
     * @param route its route, not null
     * @return the number, from 0 inclusive to 1 exclusive
     */
    static double serviceDraw(GatewayRequest request, Route route) {
        String first = isResumption(request, route) ? request.firstAttempt().orElse(request.id()) : request.id();
        return Integer.toUnsignedLong(Rendezvous.hash(first)) * HASH_TO_FRACTION;
    }

    /**
     * Decides on a resumed stream.
     *
     * @param request the request, not null
     * @param route its route, not null
     * @param account its client account, not null
     * @param service the service that is to run it unless another one began it, not null
     * @param callback receives the decision once, possibly at once, not null
     * @return stops the search for the stream's origin, not null
     */
    Cancellable decide(
            GatewayRequest request,
            Route route,
            Optional<Account> account,
            String service,
            Consumer<ResumptionDecision> callback) {
        Optional<StreamKey> key =
                request.firstAttempt().flatMap(attempt -> StreamKey.of(account.map(Account::id), attempt));
        return services.streams().resolve(key, service, answer -> {
            ResumptionDecision decision = ResumptionDecision.of(key.isPresent(), answer, route, this::countCandidates);
            log(request, answer, decision);
            if (decision.origin().isPresent()) {
                key.ifPresent(known -> services.streams().keep(known, answer, request.callerTimeout()));
            }
            callback.accept(decision);
        });
    }

    private int countCandidates(StreamOrigin origin) {
        return (int) services.registry().findByService(origin.service()).stream()
                .filter(target -> target.acceptsRequests()
                        && target.description().softwareVersion().equals(origin.version()))
                .count();
    }

    private void log(GatewayRequest request, OriginAnswer answer, ResumptionDecision decision) {
        services.log()
                .write(
                        EventCode.STREAM_RESUMPTION_DECIDED,
                        request.id(),
                        Field.of("firstAttempt", request.firstAttempt().orElse("")),
                        Field.of("lastEvent", request.lastEvent().orElse(0)),
                        Field.of(
                                "service",
                                answer.origin().map(StreamOrigin::service).orElse("")),
                        Field.of(
                                "softwareVersion",
                                answer.origin()
                                        .map(origin -> origin.version().value())
                                        .orElse("")),
                        Field.of("source", answer.source()),
                        Field.of("ageMillis", answer.age().toMillis()),
                        Field.of("candidates", decision.candidates()),
                        Field.of("result", decision.result()));
    }
}
