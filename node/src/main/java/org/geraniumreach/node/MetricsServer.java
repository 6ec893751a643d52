package org.geraniumreach.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

import org.geraniumreach.httpserver.SingleThreadListeners;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/**
 * Serves the metrics over HTTP in the Prometheus text format.
 *
 * <p>Safe for use by several threads.
 */
final class MetricsServer implements AutoCloseable {

    static final String PATH = "/metrics";

    private static final String CONTENT_TYPE = "text/plain; version=0.0.4";

    private final HttpServer server;

    private MetricsServer(HttpServer server) {
        this.server = server;
    }

    static MetricsServer start(InetSocketAddress address, Supplier<String> text) throws IOException {
        NetworkListener listener = SingleThreadListeners.create("metrics", address);
        HttpServer server = new HttpServer();
        server.addListener(listener);
        server.getServerConfiguration().addHttpHandler(new TextHandler(text), PATH);
        server.getServerConfiguration().setJmxEnabled(false);
        server.start();
        return new MetricsServer(server);
    }

    private static final class TextHandler extends HttpHandler {
        private final Supplier<String> text;

        private TextHandler(Supplier<String> text) {
            this.text = text;
        }

        @Override
        public void service(Request request, Response response) throws IOException {
            response.setContentType(CONTENT_TYPE);
            response.getWriter().write(text.get());
        }
    }

    @Override
    public void close() {
        server.shutdownNow();
    }
}
