package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

import org.geraniumreach.gateway.port.CallerAnswer;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.traffic.Account;
import org.geraniumreach.gateway.traffic.Route;
import org.geraniumreach.gateway.traffic.TrafficConfiguration;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.ResultCode;

/**
 * Receives callers' requests: finds route and account, or refuses.
 *
 * <p>Invariant: an entry that knows no configuration yet says "not now" and never that something does not exist. Confined to
 * the event loop.
 */
public final class RequestHandler {

    private static final Duration UNCONFIGURED_RETRY_AFTER = Duration.ofMillis(500);

    private final ExchangeServices services;
    private final Supplier<Optional<TrafficConfiguration>> configuration;
    private final DoubleSupplier serviceDraw;
    private final Set<Exchange> openExchanges = new HashSet<>();
    private final StartupQueue startupQueue;
    private Optional<DrainRule> drainRule = Optional.empty();

    /**
     * Makes a desk.
     *
     * @param services what exchanges share, not null
     * @param configuration the configuration in force, not null
     * @param draws numbers from 0 to below 1 by which a service is drawn, not null
     */
    public RequestHandler(
            ExchangeServices services, Supplier<Optional<TrafficConfiguration>> configuration, DoubleSupplier draws) {
        this.services = Objects.requireNonNull(services, "services");
        this.configuration = Objects.requireNonNull(configuration, "configuration");
        this.serviceDraw = Objects.requireNonNull(draws, "draws");
        this.startupQueue = new StartupQueue(services.timers());
    }

    /**
     * Receives a request.
     *
     * @param request the request, not null
     * @param answer where its answer goes, not null
     * @return to be cancelled when the caller goes away, not null
     */
    public Cancellable receive(GatewayRequest request, CallerAnswer answer) {
        ReceivedRequest arrival =
                new ReceivedRequest(request, answer, services.clock().nanos());
        if (startupQueue.isEnded()) {
            return handle(arrival);
        }
        ReplaceableCancellable replaceable = new ReplaceableCancellable();
        replaceable.current = startupQueue.hold(request.callerTimeout(), () -> replaceable.current = handle(arrival));
        return replaceable;
    }

    /** Cancels what a request has come to. */
    private static final class ReplaceableCancellable implements Cancellable {
        private Cancellable current = Cancellable.NOTHING;

        @Override
        public void cancel() {
            current.cancel();
        }
    }

    /** Notes that the entry knows all that it needs to take requests. */
    public void started() {
        startupQueue.end();
    }

    private Cancellable handle(ReceivedRequest arrival) {
        GatewayRequest request = arrival.request();
        CallerAnswer answer = arrival.answer();
        Optional<TrafficConfiguration> current = configuration.get();
        if (current.isEmpty()) {
            return refuse(
                    request,
                    answer,
                    Refusal.withRetryAfter(
                            ResultCode.NOT_FRESH, "no configuration is known yet", UNCONFIGURED_RETRY_AFTER));
        }
        Optional<Route> route = current.get().route(request.host(), request.path());
        if (route.isEmpty()) {
            return refuse(request, answer, Refusal.of(ResultCode.UNKNOWN_PATH, "no route"));
        }
        Optional<Account> account = request.key().flatMap(current.get()::accountOfKey);
        boolean wantsKey = current.get().wantsKeys() && !route.get().open();
        if (wantsKey && account.isEmpty()) {
            ResultCode code = request.key().isPresent() ? ResultCode.KEY_REFUSED : ResultCode.KEY_MISSING;
            return refuse(request, answer, Refusal.of(code, "a key of a client account is needed"));
        }
        if (drainRule.isPresent()
                && !drainRule
                        .get()
                        .admits(
                                route.get().longest(request.callerTimeout()),
                                services.clock().nanos())) {
            return refuse(
                    request,
                    answer,
                    Refusal.withRetryAfter(
                            ResultCode.DRAINING, "this entry ends before the request might", Duration.ZERO));
        }
        String service = route.get().service(serviceDraw.getAsDouble());
        services.retryBudgets().recordRequest(service);
        Exchange exchange = new Exchange(
                services, arrival, route.get(), service, wantsKey ? account : Optional.empty(), openExchanges::remove);
        openExchanges.add(exchange);
        exchange.start();
        return exchange::onCallerGone;
    }

    /**
     * Notes that the process is about to end.
     *
     * @param length after what time, not null
     */
    public void drain(Duration length) {
        drainRule = Optional.of(DrainRule.of(services.clock().nanos(), length));
    }

    /** Notes that the process ends as soon as the requests that it has taken are answered; those that still come are refused at once. */
    public void close() {
        drainRule = Optional.of(DrainRule.closed(services.clock().nanos()));
    }

    private Cancellable refuse(GatewayRequest request, CallerAnswer answer, Refusal refusal) {
        services.log()
                .write(
                        EventCode.REQUEST_REFUSED,
                        request.id(),
                        Field.of("code", refusal.code()),
                        Field.of("host", request.host()),
                        Field.of(
                                "configuration",
                                configuration
                                        .get()
                                        .map(TrafficConfiguration::version)
                                        .orElse(0L)));
        refusal.send(answer);
        return Cancellable.NOTHING;
    }

    /**
     * Gets the exchanges that have not ended.
     *
     * @return how many
     */
    public int open() {
        return openExchanges.size();
    }
}
