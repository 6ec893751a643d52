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
 * One stand-in's HTTP port on loopback, with the faults that it is told to show.
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
     * @param name the stand-in's name, not null
     * @param port its port
     * @param handler answers its calls, not null
     * @param timer delays answers, not null
     * @return the server, listening, not null
     * @throws IOException if the port cannot be had
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
     * Shows other faults from now on.
     *
     * @param newFaults the faults, not null
     * @throws IOException if the port cannot be had again
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

    /** Makes all connections open now silent for good, while new ones work. */
    public void silenceConnections() {
        connections.forEach(OpenConnection::silence);
    }

    /** Breaks all connections open now. */
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

    /** Reads calls and writes answers, as far as the faults let it. */
    private final class FaultInjectingHandler extends HttpHandler {

        @Override
        public void service(Request request, Response response) throws IOException {
            OpenConnection connection = connectionOf(request);
            Call call = Call.read(request);
            Faults struck = faults.takeFaults(call.path());
            response.suspend();
            if (connection.isSilent() || struck.hang()) {
                return;
            }
            if (struck.slowMillis() > 0) {
                timer.schedule(
                        () -> answer(call, struck, response, connection), struck.slowMillis(), TimeUnit.MILLISECONDS);
                return;
            }
            answer(call, struck, response, connection);
        }

        private void answer(Call call, Faults struck, Response response, OpenConnection connection) {
            CompletionStage<Answer> answer;
            try {
                answer = handler.handle(call, struck);
            } catch (IOException | RuntimeException e) {
                answer = Answer.malformed(e.toString()).toCompletedStage();
            }
            answer.whenComplete((made, failure) -> {
                Answer sent = failure == null ? made : Answer.failure(500, "failed", true, failure.toString());
                send(sent, struck, response, connection);
            });
        }

        private void send(Answer answer, Faults struck, Response response, OpenConnection connection) {
            if (struck.loseAnswers()) {
                connection.close();
                return;
            }
            if (struck.swallowAnswers() || connection.isSilent()) {
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
