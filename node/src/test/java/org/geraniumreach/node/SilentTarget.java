package org.geraniumreach.node;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sound target that writes nothing for a while and goes on.
 *
 * <p>The last part of a request's path is the {@link Place} of its answer. A run whose place is {@link Place#ANY} writes nothing while the target is
 * silent; others wait only at their place, so that each reaches it. A run ends when its answer is whole or its connection is closed, also during a
 * silence. Safe for use by several threads.
 */
final class SilentTarget implements AutoCloseable {

    /** The number of events of a whole stream. */
    static final int EVENTS = 12;

    private static final long EVENT_INTERVAL_MILLIS = 30;
    private static final int BACKLOG = 500;
    private static final String REPORT =
            "{\"stage\":\"both\",\"models\":[{\"name\":\"base\",\"version\":1,\"adapters\":[\"a1@1\"]}],"
                    + "\"busy\":false,\"sequence\":0,\"queued\":0,\"running\":0}";

    /** Where an answer waits while its target is silent. */
    enum Place {
        BEFORE_HEAD,
        BEFORE_FIRST_EVENT,
        BETWEEN_EVENTS,
        WITHIN_EVENT,
        WITHIN_BODY,
        BEFORE_END,
        ANY
    }

    /** A request at a target; times are in nanoseconds, and the end is 0 until the run has ended. */
    static final class Run {
        private final String id;
        private final String target;
        private final long startedAt = System.nanoTime();
        private volatile long endedAt;

        private Run(String id, String target) {
            this.id = id;
            this.target = target;
        }

        String id() {
            return id;
        }

        String target() {
            return target;
        }

        long startedAt() {
            return startedAt;
        }

        long endedAt() {
            return endedAt;
        }

        @Override
        public String toString() {
            return id + " at " + target + " from " + startedAt + " to " + endedAt;
        }
    }

    private final String name;
    private final Queue<Run> runs;
    private final ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final AtomicInteger openRuns = new AtomicInteger();
    private volatile long silentUntil = System.nanoTime();

    /** Starts a target that adds each request to the given runs as soon as it has been read. */
    SilentTarget(String name, Queue<Run> runs) throws IOException {
        this.name = name;
        this.runs = runs;
        executor.execute(this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Makes the target silent from now on for at least so long. */
    synchronized void fallSilent(long millis) {
        silentUntil = Math.max(silentUntil, System.nanoTime() + millis * 1_000_000);
    }

    /** Returns whether the target has been writing for at least so long. */
    boolean hasSpokenFor(long millis) {
        return System.nanoTime() - silentUntil > millis * 1_000_000;
    }

    int openRuns() {
        return openRuns.get();
    }

    private void accept() {
        try {
            while (true) {
                Socket client = listener.accept();
                executor.execute(() -> serve(client));
            }
        } catch (IOException closed) {
            // The target has ended.
        }
    }

    private void serve(Socket client) {
        connections.add(client);
        try (client) {
            client.setTcpNoDelay(true);
            Connection connection = new Connection(client);
            while (true) {
                connection.answerNext();
            }
        } catch (IOException ended) {
            // The entry has closed the connection.
        } finally {
            connections.remove(client);
        }
    }

    /** A connection of an entry. Confined to one thread. */
    private final class Connection {
        private final Socket client;
        private final InputStream in;
        private final OutputStream out;

        private Connection(Socket client) throws IOException {
            this.client = client;
            this.in = new BufferedInputStream(client.getInputStream());
            this.out = client.getOutputStream();
        }

        private void answerNext() throws IOException {
            String path = HttpMessages.readLine(in).split(" ")[1];
            Map<String, String> headers = HttpMessages.readHeaders(in);
            HttpMessages.readBody(in, headers);
            if (path.startsWith("/-/")) {
                pauseWhileSilent();
                write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + REPORT.length()
                        + "\r\n\r\n" + REPORT);
                return;
            }
            Run run = new Run(headers.getOrDefault("X-Attempt-Id", ""), name);
            runs.add(run);
            openRuns.incrementAndGet();
            try {
                run(path, headers);
            } finally {
                run.endedAt = System.nanoTime();
                openRuns.decrementAndGet();
            }
        }

        private void run(String path, Map<String, String> headers) throws IOException {
            Place place = Place.valueOf(path.substring(path.lastIndexOf('/') + 1));
            boolean stream = headers.containsKey("X-Model");
            waitMillis(EVENT_INTERVAL_MILLIS);
            pauseAt(Place.BEFORE_HEAD, place);
            String head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + headers.get("X-Attempt-Id") + "\r\nX-Server-Seal: "
                    + name + "\r\nContent-Type: " + (stream ? "text/event-stream" : "text/plain") + "\r\n";
            if (stream) {
                write(head + "Transfer-Encoding: chunked\r\n\r\n");
                pauseAt(Place.BEFORE_FIRST_EVENT, place);
                writeEvents(
                        place,
                        Optional.ofNullable(headers.get("Last-Event-Id"))
                                .map(Integer::parseInt)
                                .orElse(0));
                writeLastChunk(place);
            } else if (place == Place.BEFORE_END) {
                write(head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(name + "," + name));
                writeLastChunk(place);
            } else {
                write(head + "Content-Length: " + (2 * name.length() + 1) + "\r\n\r\n" + name);
                pauseAt(Place.WITHIN_BODY, place);
                write("," + name);
            }
        }

        private void writeEvents(Place place, int lastEvent) throws IOException {
            for (int number = lastEvent + 1; number <= EVENTS; number++) {
                if (number > lastEvent + 1) {
                    waitMillis(EVENT_INTERVAL_MILLIS);
                    pauseAt(Place.BETWEEN_EVENTS, place);
                }
                if (number == lastEvent + 2) {
                    write(chunk("id: " + number + "\nda"));
                    pauseAt(Place.WITHIN_EVENT, place);
                    write(chunk("ta: " + name + "\n\n"));
                } else {
                    write(chunk("id: " + number + "\ndata: " + name + "\n\n"));
                }
            }
        }

        private void writeLastChunk(Place place) throws IOException {
            pauseAt(Place.BEFORE_END, place);
            write("0\r\n\r\n");
        }

        private void pauseAt(Place here, Place place) throws IOException {
            if (place == here || place == Place.ANY) {
                pauseWhileSilent();
            }
        }

        private void pauseWhileSilent() throws IOException {
            for (long left = silentUntil - System.nanoTime(); left > 0; left = silentUntil - System.nanoTime()) {
                waitMillis(1 + left / 1_000_000);
            }
        }

        /** Waits until the time has passed or the entry closes the connection. */
        private void waitMillis(long millis) throws IOException {
            client.setSoTimeout((int) millis);
            try {
                throw new EOFException(in.read() < 0 ? "closed by the entry" : "sent ahead by the entry");
            } catch (SocketTimeoutException stillOpen) {
                client.setSoTimeout(0);
            }
        }

        private void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.US_ASCII));
        }
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket connection : connections) {
            connection.close();
        }
        executor.shutdownNow();
    }
}
