package org.geraniumreach.node;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

import org.geraniumreach.model.testing.FreeAddresses;

/**
 * A target that answers each request byte by byte as its script tells, and loads its adapter when it is ordered to.
 *
 * <p>Invariant: no outgoing connection can take its port while it is closed, so that a target can start again at its address. Safe for use by
 * several threads.
 */
final class ScriptedTarget implements AutoCloseable {

    private static final int BACKLOG = 200;
    private static final Duration LOAD_TIME = Duration.ofMillis(300);
    private static final String REPORT =
            "{\"stage\":\"both\",\"models\":[{\"name\":\"base\",\"version\":1,\"adapters\":[%s]}],"
                    + "\"busy\":false,\"sequence\":%d,\"queued\":0,\"running\":0}";

    private final ServerSocket listener;
    private final Set<Socket> clients = ConcurrentHashMap.newKeySet();
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final AtomicInteger connections = new AtomicInteger();
    private final Script script;
    private final AtomicInteger orders = new AtomicInteger();
    private volatile long loadedAt = System.nanoTime();

    /** Answers a request; an exception closes its connection. */
    @FunctionalInterface
    interface Script {
        void answer(Call call) throws IOException, InterruptedException;

        /** Queries whether the request is answered before its body is read. */
        default boolean answersBeforeBody(Call call) {
            return false;
        }
    }

    /**
     * A request that a target has read.
     *
     * @param id the id of the request
     * @param headers the headers
     * @param connection the number of its connection
     * @param client the connection
     */
    record Call(String id, Map<String, String> headers, int connection, Socket client) {

        private static final String EVENT = "id: 1\ndata: x\n\n";

        /** Gets the headers that name the request and the target in an answer. */
        String identityHeaders(String target) {
            return "X-Attempt-Id: " + id + "\r\nX-Instance-Id: " + target + "\r\n";
        }

        /** Gets the answer of a target that has run the request. */
        String wholeAnswer(String target) {
            return "HTTP/1.1 200 OK\r\n" + identityHeaders(target) + "X-Server-Seal: " + target + "\r\nContent-Type: "
                    + (headers.containsKey("X-Model") ? "text/event-stream" : "text/plain")
                    + "\r\nContent-Length: " + EVENT.length() + "\r\n\r\n" + EVENT;
        }

        void write(String text) throws IOException {
            OutputStream out = client.getOutputStream();
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
    }

    ScriptedTarget(Script script) throws IOException {
        this(FreeAddresses.next(), script);
    }

    /** Starts a target at the address of one that has been closed. */
    ScriptedTarget(InetSocketAddress address, Script script) throws IOException {
        this.listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(address, BACKLOG);
        this.script = script;
        executor.execute(this::accept);
    }

    /** Makes the target hold no adapter until it is ordered to load one. */
    void unload() {
        loadedAt = Long.MAX_VALUE;
    }

    boolean isLoaded() {
        return loadedAt < System.nanoTime();
    }

    private String report() {
        return String.format(Locale.ROOT, REPORT, isLoaded() ? "\"a1@1\"" : "", orders.get());
    }

    /** Carries out an order to load; returns the status. */
    private synchronized int load() {
        if (loadedAt != Long.MAX_VALUE) {
            return 200;
        }
        orders.incrementAndGet();
        loadedAt = System.nanoTime() + LOAD_TIME.toNanos();
        return 202;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    private void accept() {
        try {
            while (true) {
                Socket client = listener.accept();
                int connection = connections.incrementAndGet();
                executor.execute(() -> serve(client, connection));
            }
        } catch (IOException closed) {
            executor.shutdown();
        }
    }

    private void serve(Socket client, int connection) {
        clients.add(client);
        try (client) {
            client.setTcpNoDelay(true);
            InputStream in = client.getInputStream();
            while (!client.isClosed()) {
                String path = HttpMessages.readLine(in).split(" ")[1];
                Map<String, String> headers = HttpMessages.readHeaders(in);
                Call call = new Call(headers.getOrDefault("X-Attempt-Id", ""), headers, connection, client);
                boolean readsBodyFirst = path.startsWith("/-/") || !script.answersBeforeBody(call);
                if (readsBodyFirst) {
                    HttpMessages.readBody(in, headers);
                }
                if (path.startsWith("/-/")) {
                    int status = path.startsWith("/-/order") ? load() : 200;
                    String report = report();
                    call.write(
                            "HTTP/1.1 " + status + " OK\r\nContent-Length: " + report.length() + "\r\n\r\n" + report);
                } else {
                    script.answer(call);
                }
                if (!readsBodyFirst) {
                    HttpMessages.readBody(in, headers);
                }
            }
        } catch (IOException | RuntimeException closed) {
            // The entry or the script has closed the connection.
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            clients.remove(client);
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket client : clients) {
            client.close();
        }
        executor.shutdownNow();
    }
}
