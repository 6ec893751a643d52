package org.geraniumreach.standins.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.CloseType;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;
import org.tinylog.Logger;

/**
 * The HTTP server of a stand-in on the loopback address, with fault injection.
 *
 * <p>Safe for use by several threads.
 */
public final class StandInServer implements AutoCloseable {

    private static final String LOOPBACK = "127.0.0.1";
    private static final int SELECTOR_THREADS = 1;
    private static final int WORKER_THREADS = 4;
    private static final int KEEP_ALIVE_SECONDS = 600;
    private static final Attribute<OpenConnection> OPEN_CONNECTION =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("stand-in connection");

    private final String name;
    private final int port;
    private final CallHandler handler;
    private final ScheduledExecutorService timer;
    private final FaultInjector faults = new FaultInjector();
    private final Set<OpenConnection> connections = ConcurrentHashMap.newKeySet();
    private HttpServer server;

    private StandInServer(String name, int port, CallHandler handler, ScheduledExecutorService timer) {
        this.name = name;
        this.port = port;
        this.handler = handler;
        this.timer = timer;
    }

    /**
     * Starts a server.
     *
     * @param name the name of the stand-in, not null
     * @param port the port to listen on
     * @param handler handles the calls, not null
     * @param timer runs delayed tasks, not null
     * @return the listening server, not null
     * @throws IOException if the port cannot be bound
     */
    public static StandInServer start(String name, int port, CallHandler handler, ScheduledExecutorService timer)
            throws IOException {
        StandInServer server = new StandInServer(name, port, handler, timer);
        server.listen();
        Logger.info("{} listens on {}:{}", name, LOOPBACK, port);
        return server;
    }

    public String name() {
        return name;
    }

    public CallHandler handler() {
        return handler;
    }

    public Faults faults() {
        return faults.current();
    }

    /**
     * Replaces the faults to inject.
     *
     * @param newFaults the faults, not null
     * @throws IOException if the port cannot be bound again
     */
    public synchronized void setFaults(Faults newFaults) throws IOException {
        faults.set(newFaults);
        if (newFaults.down() && server != null) {
            server.shutdownNow();
            server = null;
            connections.clear();
        }
        if (!newFaults.down() && server == null) {
            listen();
        }
    }

    /** Silences all open connections permanently; new connections work. */
    public void silenceConnections() {
        connections.forEach(OpenConnection::silence);
    }

    /** Closes all open connections. */
    public void dropConnections() {
        connections.forEach(OpenConnection::close);
    }

    private synchronized void listen() throws IOException {
        NetworkListener listener = new NetworkListener(name, LOOPBACK, port);
        listener.getKeepAlive().setIdleTimeoutInSeconds(KEEP_ALIVE_SECONDS);
        listener.getKeepAlive().setMaxRequestsCount(-1);
        listener.getTransport().setSelectorRunnersCount(SELECTOR_THREADS);
        listener.getTransport()
                .setWorkerThreadPoolConfig(ThreadPoolConfig.defaultConfig()
                        .setPoolName(name)
                        .setCorePoolSize(WORKER_THREADS)
                        .setMaxPoolSize(WORKER_THREADS));
        HttpServer starting = new HttpServer();
        starting.addListener(listener);
        starting.getServerConfiguration().setDefaultQueryEncoding(StandardCharsets.UTF_8);
        starting.getServerConfiguration().addHttpHandler(new FaultInjectingHandler(), "/");
        starting.start();
        server = starting;
    }

    @Override
    public synchronized void close() {
        if (server != null) {
            server.shutdownNow();
            server = null;
        }
    }

    private OpenConnection connectionOf(Request request) {
        Connection<?> connection = request.getContext().getConnection();
        OpenConnection open = OPEN_CONNECTION.get(connection);
        if (open == null) {
            OpenConnection added = new OpenConnection(connection);
            OPEN_CONNECTION.set(connection, added);
            connections.add(added);
            CloseListener<Closeable, CloseType> removal = (closed, kind) -> connections.remove(added);
            connection.addCloseListener(removal);
            open = added;
        }
        return open;
    }

    /** Handles calls and writes answers subject to the injected faults. */
    private final class FaultInjectingHandler extends HttpHandler {

        @Override
        public void service(Request request, Response response) throws IOException {
            OpenConnection connection = connectionOf(request);
            Call call = Call.read(request);
            Faults injected = faults.takeFaults(call.path());
            response.suspend();
            if (connection.isSilent() || injected.hang()) {
                return;
            }
            if (injected.slowMillis() > 0) {
                timer.schedule(
                        () -> answer(call, injected, response, connection),
                        injected.slowMillis(),
                        TimeUnit.MILLISECONDS);
                return;
            }
            answer(call, injected, response, connection);
        }

        private void answer(Call call, Faults injected, Response response, OpenConnection connection) {
            CompletionStage<Answer> answer;
            try {
                answer = handler.handle(call, injected);
            } catch (IOException | RuntimeException e) {
                answer = Answer.malformed(e.toString()).toCompletedStage();
            }
            answer.whenComplete((handled, failure) -> {
                Answer sent = failure == null ? handled : Answer.failure(500, "failed", true, failure.toString());
                send(sent, injected, response, connection);
            });
        }

        private void send(Answer answer, Faults injected, Response response, OpenConnection connection) {
            if (injected.loseAnswers()) {
                connection.close();
                return;
            }
            if (injected.swallowAnswers() || connection.isSilent()) {
                return;
            }
            response.setStatus(answer.status());
            response.setContentType("application/json");
            if (answer.stream() != null) {
                answer.stream().accept(new LineSink(response, connection));
                return;
            }
            sendBody(answer.body(), response, connection);
        }

        private void sendBody(byte[] body, Response response, OpenConnection connection) {
            try {
                response.setContentLength(body.length);
                response.getOutputStream().write(body);
                response.finish();
            } catch (IOException | RuntimeException e) {
                connection.close();
            }
            response.resume();
        }
    }
}
