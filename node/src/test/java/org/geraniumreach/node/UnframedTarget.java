package org.geraniumreach.node;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/** A target whose answers have neither a length nor chunks and end with their connection. Safe for use by several threads. */
final class UnframedTarget implements AutoCloseable {

    private static final String REPORT =
            "{\"stage\":\"both\",\"models\":[{\"name\":\"base\",\"version\":1,\"adapters\":[\"a1@1\"]}],"
                    + "\"busy\":false,\"sequence\":0,\"queued\":0,\"running\":0}";

    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final AtomicInteger connections = new AtomicInteger();
    private final List<Optional<String>> lastEvents = new CopyOnWriteArrayList<>();
    private final Function<Optional<String>, Body> bodies;

    /**
     * The body of an answer.
     *
     * @param type the content type
     * @param text the bytes
     * @param reset whether the connection is reset after them instead of closed
     */
    record Body(String type, String text, boolean reset) {}

    /** Starts a target that answers as a function of the last event that the request names. */
    UnframedTarget(Function<Optional<String>, Body> bodies) throws IOException {
        this.bodies = bodies;
        executor.execute(this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Returns the last event that each request named. */
    List<Optional<String>> lastEvents() {
        return lastEvents;
    }

    int connections() {
        return connections.get();
    }

    private void accept() {
        try {
            while (true) {
                Socket client = listener.accept();
                connections.incrementAndGet();
                executor.execute(() -> answer(client));
            }
        } catch (IOException closed) {
            executor.shutdown();
        }
    }

    private void answer(Socket client) {
        try (client) {
            InputStream in = client.getInputStream();
            String path = HttpMessages.readLine(in).split(" ")[1];
            Map<String, String> headers = HttpMessages.readHeaders(in);
            HttpMessages.readBody(in, headers);
            OutputStream out = client.getOutputStream();
            if (path.startsWith("/-/")) {
                out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + REPORT)
                        .getBytes(StandardCharsets.UTF_8));
                return;
            }
            Optional<String> lastEvent = Optional.ofNullable(headers.get("Last-Event-Id"));
            lastEvents.add(lastEvent);
            Body body = bodies.apply(lastEvent);
            out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + headers.get("X-Attempt-Id")
                            + "\r\nX-Server-Seal: seal\r\nContent-Type: " + body.type() + "\r\n\r\n" + body.text())
                    .getBytes(StandardCharsets.UTF_8));
            out.flush();
            Thread.sleep(100);
            if (body.reset()) {
                client.setSoLinger(true, 0);
            }
        } catch (IOException broken) {
            // The entry has closed the connection.
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        executor.shutdownNow();
    }
}
