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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/** A target that answers requests with bytes that do not end until its caller closes. Safe for use by several threads. */
final class EndlessTarget implements AutoCloseable {

    private static final String REPORT =
            "{\"stage\":\"both\",\"models\":[{\"name\":\"base\",\"version\":1,\"adapters\":[\"a1@1\"]}],"
                    + "\"busy\":false,\"sequence\":0,\"queued\":0,\"running\":0}";

    /** Bytes are sent in pieces of this size, one a millisecond. */
    private static final int PIECE_BYTES = 16_384;

    private static final String DATA = "x".repeat(200);

    private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final List<Answered> answered = new CopyOnWriteArrayList<>();
    private final AtomicInteger unended = new AtomicInteger();
    private volatile Supplier<Endless> choice = () -> Endless.NONE;
    private volatile Optional<Endless> endlessReports = Optional.empty();

    /** What the target sends without end, after its usual beginning. */
    enum Endless {
        NONE("", ""),
        HEAD_IN_ONE_LINE("HTTP/1.1 200 OK\r\nX-Long: ", "x"),
        HEAD_OF_MANY_LINES("HTTP/1.1 200 OK\r\n", "X-Line: x\r\n"),
        INFORMATIONAL_HEADS("", "HTTP/1.1 102 Processing\r\n\r\n"),
        BLANK_LINES("", "\r\n"),
        CHUNK_EXTENSION("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n1;", "x"),
        TRAILERS("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "X-Line: x\r\n"),
        CHUNKS("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", "5\r\n12345\r\n"),
        CHUNKS_OF_ERROR("HTTP/1.1 500 Failed\r\n%sTransfer-Encoding: chunked\r\n\r\n", "5\r\n12345\r\n"),
        LENGTH("HTTP/1.1 200 OK\r\n%sContent-Length: 999999999999\r\n\r\n", "x"),
        NO_LENGTH("HTTP/1.1 200 OK\r\n%s\r\n", "x"),
        REJECTION("HTTP/1.1 503 Busy\r\n%sX-Not-Executed: 1\r\nContent-Length: 999999999999\r\n\r\n", "x"),
        CHUNKS_OF_REJECTION(
                "HTTP/1.1 503 Busy\r\n%sX-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\n12345\r\n"),
        OTHER_REQUEST("HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 999999999999\r\n\r\n", "x"),
        BEHIND_ANSWER("HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", "x"),
        EVENT("HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x", "x"),
        NUMBERED_EVENTS("HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\n", ""),
        EVENTS("HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n", ": x\n\n");

        private final String beginning;
        private final String repeated;

        Endless(String beginning, String repeated) {
            this.beginning = beginning;
            this.repeated = repeated;
        }
    }

    /** How an endless answer ended: the bytes that were written, and the time until the caller had closed. */
    record Answered(long bytes, long millis) {}

    EndlessTarget() throws IOException {
        executor.execute(this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    void setEndless(Endless newEndless) {
        choose(() -> newEndless);
    }

    /** Sets what each request is answered with. */
    void choose(Supplier<Endless> newChoice) {
        choice = newChoice;
    }

    /** Sets what reports and orders are answered with, empty for proper answers. */
    void setEndlessReports(Optional<Endless> newEndless) {
        endlessReports = newEndless;
    }

    /** Returns the endless answers that have ended. */
    List<Answered> answered() {
        return answered;
    }

    /** Returns the number of endless answers whose callers have not closed. */
    int unended() {
        return unended.get();
    }

    private void accept() {
        try {
            while (true) {
                Socket client = listener.accept();
                executor.execute(() -> serve(client));
            }
        } catch (IOException closed) {
            executor.shutdown();
        }
    }

    private void serve(Socket client) {
        try (client) {
            InputStream in = client.getInputStream();
            while (true) {
                String line = HttpMessages.readLine(in);
                if (line.isEmpty()) {
                    return;
                }
                Map<String, String> headers = HttpMessages.readHeaders(in);
                HttpMessages.readBody(in, headers);
                answer(client.getOutputStream(), line.split(" ")[1], headers.get("X-Attempt-Id"));
            }
        } catch (IOException | RuntimeException closed) {
            // The entry has closed the connection.
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void answer(OutputStream out, String path, String id) throws IOException, InterruptedException {
        if (path.startsWith("/-/") && endlessReports.isEmpty()) {
            write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + REPORT.length() + "\r\n\r\n" + REPORT);
            return;
        }
        Endless endless = path.startsWith("/-/") ? endlessReports.get() : choice.get();
        String common = "X-Attempt-Id: " + id + "\r\nX-Server-Seal: seal\r\n";
        if (endless == Endless.NONE) {
            write(out, "HTTP/1.1 200 OK\r\n" + common + "Content-Length: 2\r\n\r\nok");
            return;
        }
        write(out, String.format(endless.beginning, common));
        if (endless == Endless.NUMBERED_EVENTS) {
            AtomicLong number = new AtomicLong();
            repeat(out, () -> numberedEvents(number));
            return;
        }
        byte[] piece =
                endless.repeated.repeat(PIECE_BYTES / endless.repeated.length()).getBytes(StandardCharsets.US_ASCII);
        repeat(out, () -> piece);
    }

    private static byte[] numberedEvents(AtomicLong number) {
        StringBuilder events = new StringBuilder();
        while (events.length() < PIECE_BYTES) {
            events.append("id: ")
                    .append(number.incrementAndGet())
                    .append("\ndata: ")
                    .append(DATA)
                    .append("\n\n");
        }
        return events.toString().getBytes(StandardCharsets.US_ASCII);
    }

    private void repeat(OutputStream out, Supplier<byte[]> pieces) throws InterruptedException {
        long begunAt = System.nanoTime();
        long bytes = 0;
        unended.incrementAndGet();
        try {
            while (true) {
                byte[] piece = pieces.get();
                out.write(piece);
                out.flush();
                bytes += piece.length;
                TimeUnit.MILLISECONDS.sleep(1);
            }
        } catch (IOException closed) {
            answered.add(new Answered(bytes, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begunAt)));
        } finally {
            unended.decrementAndGet();
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        executor.shutdownNow();
    }
}
