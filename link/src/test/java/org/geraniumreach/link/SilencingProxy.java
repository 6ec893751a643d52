package org.geraniumreach.link;

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
 * Something between two ends that can lose track of its open connections: it keeps them open and forwards nothing more,
 * while new ones work.
 */
final class SilencingProxy implements AutoCloseable {

    private final ServerSocket server;
    private final InetSocketAddress target;
    private final List<ProxiedConnection> connections = new CopyOnWriteArrayList<>();

    private SilencingProxy(ServerSocket server, InetSocketAddress target) {
        this.server = server;
        this.target = target;
    }

    static SilencingProxy start(InetSocketAddress target) throws IOException {
        SilencingProxy relay = new SilencingProxy(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()), target);
        startDaemon(relay::accept);
        return relay;
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    InetSocketAddress address() {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    private static final class ProxiedConnection {
        private final Socket client;
        private final Socket upstream;
        private volatile boolean silent;

        private ProxiedConnection(Socket near, Socket far) {
            this.client = near;
            this.upstream = far;
        }

        private void forward(Socket from, Socket to) {
            byte[] buffer = new byte[8192];
            try (InputStream in = from.getInputStream()) {
                OutputStream out = to.getOutputStream();
                for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                    if (!silent) {
                        out.write(buffer, 0, count);
                    }
                }
                if (!silent) {
                    to.close();
                }
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket near = server.accept();
                Socket far = new Socket(target.getAddress(), target.getPort());
                ProxiedConnection passage = new ProxiedConnection(near, far);
                connections.add(passage);
                startDaemon(() -> passage.forward(near, far));
                startDaemon(() -> passage.forward(far, near));
            }
        } catch (IOException closed) {
            return;
        }
    }

    /** Loses track of all connections open now. */
    void silenceOpenConnections() {
        connections.forEach(passage -> passage.silent = true);
    }

    int connectionCount() {
        return connections.size();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (ProxiedConnection passage : connections) {
            passage.client.close();
            passage.upstream.close();
        }
    }
}
