package org.geraniumreach.daemon.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.geraniumreach.daemon.event.EventLog;
import org.geraniumreach.httpserver.BodyCollector;
import org.geraniumreach.httpserver.CallerWatch;
import org.geraniumreach.httpserver.RequestBody;
import org.geraniumreach.httpserver.RequestGate;
import org.geraniumreach.httpserver.UpgradeIgnoringFilter;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.ExecutionStatus;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServingException;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

/**
 * An HTTP server on one address, with its routes.
 *
 * <p>Invariants: every call is answered, with a numbered error if an endpoint throws; a body above the limit is
 * rejected before it is buffered. Safe for use by several threads.
 */
public final class HttpListener implements AutoCloseable {

    private final String name;
    private final HttpLimits limits;
    private final HttpServer server;
    private final NetworkListener listener;
    private final Executor executor;
    private final AtomicInteger openCalls = new AtomicInteger();
    /** The connections on which the body of a call is being received. */
    private final Map<Connection<?>, CallerWatch> partialCalls = new ConcurrentHashMap<>();

    private final RequestGate gate;
    private volatile boolean draining;

    private HttpListener(String name, HttpLimits limits, InetSocketAddress address, Executor executor) {
        this.name = name;
        this.limits = limits;
        this.executor = executor;
        this.listener = new NetworkListener(name, address.getAddress().getHostAddress(), address.getPort());
        this.server = new HttpServer();
        this.gate = new RequestGate(
                connection -> {},
                failure -> EventLog.write(EventCode.UNEXPECTED_FAILURE, failure, "{} response", name));
    }

    /**
     * Starts an HTTP listener.
     *
     * @param name the name for threads and logs, not null
     * @param limits the limits for requests, not null
     * @param address the address to listen on, not null
     * @param routes the endpoints, not null
     * @param executor runs the endpoints, not null
     * @return the started listener, not null
     * @throws IOException if the address cannot be bound
     */
    public static HttpListener start(
            String name, HttpLimits limits, InetSocketAddress address, Routes routes, Executor executor)
            throws IOException {
        HttpListener started = new HttpListener(name, limits, address, executor);
        started.configure(routes);
        started.server.start();
        return started;
    }

    private void configure(Routes routes) {
        listener.setMaxHttpHeaderSize((int) limits.headers().bytes());
        listener.setMaxRequestHeaders(limits.headerCount());
        listener.getKeepAlive().setIdleTimeoutInSeconds((int) limits.idle().toSeconds());
        listener.getKeepAlive().setMaxRequestsCount(-1);
        listener.getTransport().setTcpNoDelay(true);
        listener.getTransport().setReuseAddress(true);
        listener.getTransport().setSelectorRunnersCount(limits.workers());
        listener.getTransport().setIOStrategy(SameThreadIOStrategy.getInstance());
        listener.getTransport().setWorkerThreadPoolConfig(null);
        listener.registerAddOn(new UpgradeIgnoringFilter());
        listener.registerAddOn(gate);
        listener.registerAddOn(
                new BodyCollector(limits.body()::bytes, (connection, request) -> onPartialCall(connection)));
        server.addListener(listener);
        server.getServerConfiguration().setName(name);
        server.getServerConfiguration().setHttpServerName("geraniumreach");
        server.getServerConfiguration().setJmxEnabled(false);
        // The library would answer TRACE itself, and take its body for the next request.
        server.getServerConfiguration().setPassTraceRequest(true);
        server.getServerConfiguration().setDefaultErrorPageGenerator(new PlainErrorPage());
        server.getServerConfiguration().addHttpHandler(new Handler(routes), "/");
    }

    private void onPartialCall(Connection<?> connection) {
        partialCalls.put(connection, CallerWatch.start(connection, () -> partialCalls.remove(connection)));
        if (!connection.isOpen()) {
            Optional.ofNullable(partialCalls.remove(connection)).ifPresent(CallerWatch::stop);
        }
    }

    private final class Handler extends HttpHandler {

        private final Routes routes;

        Handler(Routes routes) {
            this.routes = routes;
        }

        @Override
        public void service(Request request, Response response) {
            response.suspend();
            Connection<?> connection = request.getRequest().getConnection();
            if (gate.isBehindLastAnswer(connection)) {
                return;
            }
            Optional<Routes.Match> match = routes.find(request.getMethod().getMethodString(), request.getRequestURI());
            List<String> parameters = match.map(Routes.Match::parameters).orElse(List.of());
            Endpoint endpoint = match.map(Routes.Match::endpoint).orElse(HttpListener::refuseUnknownPath);
            openCalls.incrementAndGet();
            partialCalls.remove(connection);
            RequestBody body = BodyCollector.bodyOf(request);
            gate.onRequest(request.getRequest(), body);
            if (draining) {
                gate.onLastAnswer(connection);
                response.setHeader("Connection", "close");
            }
            Call call = new Call(request, response, body.bytes(), parameters, gate, openCalls::decrementAndGet);
            body.fault().ifPresentOrElse(fault -> refuse(connection, call, fault), () -> dispatch(endpoint, call));
        }

        private void refuse(Connection<?> connection, Call call, ServingException failure) {
            gate.onLastAnswer(connection);
            call.setHeader("Connection", "close");
            call.fail(failure);
        }
    }

    private static void refuseUnknownPath(Call call) throws ServingException {
        throw ServingException.notRun(ResultCode.UNKNOWN_PATH, "no such path or method");
    }

    private void dispatch(Endpoint endpoint, Call call) {
        try {
            executor.execute(() -> handle(endpoint, call));
        } catch (RejectedExecutionException saturated) {
            call.fail(ServingException.notRun(ResultCode.OVERLOADED, "too many calls are being read")
                    .withRetryAfter(Duration.ofSeconds(1)));
        }
    }

    private void handle(Endpoint endpoint, Call call) {
        try {
            endpoint.handle(call);
        } catch (ServingException refused) {
            call.fail(refused);
        } catch (RuntimeException fault) {
            EventLog.write(EventCode.UNEXPECTED_FAILURE, fault, "{} endpoint", name);
            call.fail(ServingException.of(ResultCode.INTERNAL_ERROR, ExecutionStatus.UNKNOWN, "a fault of the system"));
        }
    }

    /**
     * Gets the address that this listens on.
     *
     * @return the address, with the port that the operating system assigned if port 0 was requested
     */
    public InetSocketAddress address() {
        return new InetSocketAddress(listener.getHost(), listener.getPort());
    }

    /**
     * Gets the number of calls that have not been answered yet.
     *
     * @return the number
     */
    public int openCalls() {
        return openCalls.get() + partialCalls.size();
    }

    /** Adds {@code Connection: close} to the responses of all further calls. */
    public void drain() {
        draining = true;
    }

    @Override
    public void close() {
        server.shutdown(1, TimeUnit.SECONDS);
    }
}
