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
 * Stands between two processes and loses track of their connections on demand.
 *
 * <p>Safe for use by several threads.
 */
final class Relay implements AutoCloseable {

    private static final int BUFFER = 8_192;

    private final ServerSocket server;
    private final InetSocketAddress target;
    private final List<Pipe> pipes = new CopyOnWriteArrayList<>();
    private volatile boolean cut;

    private Relay(ServerSocket server, InetSocketAddress target) {
        this.server = server;
        this.target = target;
    }

    static Relay to(InetSocketAddress target) throws IOException {
        Relay relay = new Relay(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()), target);
        daemon(relay::accept);
        return relay;
    }

    int port() {
        return server.getLocalPort();
    }

    /** Leaves the open connections open and passes nothing on; new connections work. */
    void silence() {
        pipes.forEach(pipe -> pipe.silent = true);
    }

    /** Closes the open connections and refuses new ones. */
    void cut() {
        cut = true;
        pipes.forEach(Pipe::close);
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket from = server.accept();
                if (cut) {
                    from.close();
                    continue;
                }
                Socket to = new Socket(target.getAddress(), target.getPort());
                open(from, to);
                open(to, from);
            } catch (IOException closed) {
                // The target may not be up yet; whoever connects tries again.
                continue;
            }
        }
    }

    private void open(Socket from, Socket to) throws IOException {
        from.setTcpNoDelay(true);
        Pipe pipe = new Pipe(from, to);
        pipes.add(pipe);
        daemon(pipe::run);
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        server.close();
        pipes.forEach(Pipe::close);
    }

    /** One direction of one connection. */
    private static final class Pipe {

        private final Socket from;
        private final Socket to;
        private volatile boolean silent;

        Pipe(Socket from, Socket to) {
            this.from = from;
            this.to = to;
        }

        void run() {
            byte[] buffer = new byte[BUFFER];
            try (InputStream input = from.getInputStream();
                    OutputStream output = to.getOutputStream()) {
                int count = input.read(buffer);
                while (count >= 0) {
                    if (!silent) {
                        output.write(buffer, 0, count);
                    }
                    count = input.read(buffer);
                }
            } catch (IOException ended) {
                close();
            }
        }

        void close() {
            try {
                from.close();
                to.close();
            } catch (IOException ignored) {
                // Both are to be closed, and closing is all that is wanted of them.
                return;
            }
        }
    }
}
