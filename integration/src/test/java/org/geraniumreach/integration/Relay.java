package org.geraniumreach.integration;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * TCP relay between two processes that can drop traffic or close connections on demand.
 *
 * <p>Thread-safe.
 */
final class Relay implements AutoCloseable {

    private static final int BUFFER_BYTES = 8_192;

    private final ServerSocket server;
    private final InetSocketAddress target;
    private final List<Pipe> pipes = new CopyOnWriteArrayList<>();
    private volatile boolean disconnected;

    private Relay(ServerSocket server, InetSocketAddress target) {
        this.server = server;
        this.target = target;
    }

    static Relay start(InetSocketAddress target) throws IOException {
        Relay relay = new Relay(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()), target);
        startDaemonThread(relay::acceptConnections);
        return relay;
    }

    int port() {
        return server.getLocalPort();
    }

    /** Drops all further traffic on the existing connections without closing them; new connections work normally. */
    void stopForwarding() {
        pipes.forEach(pipe -> pipe.forwardingStopped = true);
    }

    /** Closes all connections and closes new ones as soon as they are accepted. */
    void disconnect() {
        disconnected = true;
        pipes.forEach(Pipe::close);
    }

    private void acceptConnections() {
        while (!server.isClosed()) {
            try {
                Socket from = server.accept();
                if (disconnected) {
                    from.close();
                    continue;
                }
                Socket to = new Socket(target.getAddress(), target.getPort());
                startPipe(from, to);
                startPipe(to, from);
            } catch (IOException closed) {
                // The target may not be up yet; the connecting process retries.
                continue;
            }
        }
    }

    private void startPipe(Socket from, Socket to) throws IOException {
        from.setTcpNoDelay(true);
        Pipe pipe = new Pipe(from, to);
        pipes.add(pipe);
        startDaemonThread(pipe::forward);
    }

    private static void startDaemonThread(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        server.close();
        pipes.forEach(Pipe::close);
    }

    /** Forwards one direction of a connection. */
    private static final class Pipe {

        private final Socket from;
        private final Socket to;
        private volatile boolean forwardingStopped;

        Pipe(Socket from, Socket to) {
            this.from = from;
            this.to = to;
        }

        void forward() {
            byte[] buffer = new byte[BUFFER_BYTES];
            try (InputStream input = from.getInputStream();
                    OutputStream output = to.getOutputStream()) {
                int count = input.read(buffer);
                while (count >= 0) {
                    if (!forwardingStopped) {
                        output.write(buffer, 0, count);
                    }
                    count = input.read(buffer);
                }
            } catch (IOException closed) {
                close();
            }
        }

        void close() {
            try {
                from.close();
                to.close();
            } catch (IOException ignored) {
                // The sockets are discarded, so a failure to close them does not matter.
                return;
            }
        }
    }
}
