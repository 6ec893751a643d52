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
final class Relay implements AutoCloseable {

    private final ServerSocket server;
    private final InetSocketAddress target;
    private final List<Passage> passages = new CopyOnWriteArrayList<>();

    private Relay(ServerSocket server, InetSocketAddress target) {
        this.server = server;
        this.target = target;
    }

    static Relay start(InetSocketAddress target) throws IOException {
        Relay relay = new Relay(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()), target);
        daemon(relay::accept);
        return relay;
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    InetSocketAddress address() {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    private static final class Passage {
        private final Socket near;
        private final Socket far;
        private volatile boolean silent;

        private Passage(Socket near, Socket far) {
            this.near = near;
            this.far = far;
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
                Passage passage = new Passage(near, far);
                passages.add(passage);
                daemon(() -> passage.forward(near, far));
                daemon(() -> passage.forward(far, near));
            }
        } catch (IOException closed) {
            return;
        }
    }

    /** Loses track of all connections open now. */
    void silenceOpenConnections() {
        passages.forEach(passage -> passage.silent = true);
    }

    int connections() {
        return passages.size();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Passage passage : passages) {
            passage.near.close();
            passage.far.close();
        }
    }
}
