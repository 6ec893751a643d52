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

/** A TCP proxy that can stop forwarding on its open connections without closing them, while new connections work. */
final class SilencingProxy implements AutoCloseable {

    private final ServerSocket server;
    private final InetSocketAddress upstreamAddress;
    private final List<ProxiedConnection> connections = new CopyOnWriteArrayList<>();

    private SilencingProxy(ServerSocket server, InetSocketAddress upstreamAddress) {
        this.server = server;
        this.upstreamAddress = upstreamAddress;
    }

    static SilencingProxy start(InetSocketAddress upstreamAddress) throws IOException {
        SilencingProxy proxy =
                new SilencingProxy(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()), upstreamAddress);
        startDaemon(proxy::accept);
        return proxy;
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "proxy");
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

        private ProxiedConnection(Socket client, Socket upstream) {
            this.client = client;
            this.upstream = upstream;
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
                Socket client = server.accept();
                Socket upstream = new Socket(upstreamAddress.getAddress(), upstreamAddress.getPort());
                ProxiedConnection connection = new ProxiedConnection(client, upstream);
                connections.add(connection);
                startDaemon(() -> connection.forward(client, upstream));
                startDaemon(() -> connection.forward(upstream, client));
            }
        } catch (IOException closed) {
            return;
        }
    }

    /** Stops forwarding on all connections that are open now. */
    void silenceOpenConnections() {
        connections.forEach(connection -> connection.silent = true);
    }

    int connectionCount() {
        return connections.size();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (ProxiedConnection connection : connections) {
            connection.client.close();
            connection.upstream.close();
        }
    }
}
