package org.geraniumreach.node;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A caller that sends one request after the other over a connection that it keeps while the entry does. Confined to one thread. */
final class KeptCaller implements AutoCloseable {

    private static final int DEADLINE_MILLIS = 12_000;
    private static final int READ_TIMEOUT_MILLIS = DEADLINE_MILLIS + 2_000;
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: ([^\n]+)\n\n");

    private final InetSocketAddress entry;
    private Optional<Socket> connection = Optional.empty();

    /** How an answer ended. */
    enum Ending {
        /** A head and its whole body were received. */
        WHOLE,
        /** The connection was closed within an answer. */
        BROKEN,
        /** The connection was closed before an answer. */
        CLOSED,
        /** Nothing more was received long after the deadline. */
        UNANSWERED,
        /** The request was not sent whole. */
        UNSENT
    }

    /**
     * What a caller has seen of a request; times are in nanoseconds.
     *
     * @param sentAt the time after the last byte of the request was sent
     */
    record Answer(
            String id, String path, long sentAt, long endedAt, Ending ending, int status, String seal, String body) {

        boolean isWhole() {
            return ending == Ending.WHOLE && status == 200;
        }

        /** Returns whether the answer promises that the request has not run. */
        boolean isRefusal() {
            return ending == Ending.WHOLE && (status == 503 || status == 429 || status == 408 || status == 421);
        }

        boolean isStream() {
            return path.startsWith("/chat") || path.startsWith("/flow");
        }

        boolean mayRepeat() {
            return path.startsWith("/chat") || path.startsWith("/look");
        }

        long millis() {
            return (endedAt - sentAt) / 1_000_000;
        }

        /** Returns whether the body is what targets wrote, with each event once and in order, and ends only if it is marked so. */
        boolean isInOrder() {
            if (status != 200) {
                return true;
            }
            if (!isStream()) {
                return !isWhole() || body.equals(seal + "," + seal);
            }
            List<Integer> numbers = new ArrayList<>();
            Matcher event = EVENT.matcher(body);
            int end = 0;
            while (event.find() && event.start() == end) {
                numbers.add(Integer.parseInt(event.group(1)));
                end = event.end();
            }
            boolean consecutive = true;
            for (int index = 0; index < numbers.size(); index++) {
                consecutive &= numbers.get(index) == index + 1;
            }
            boolean sealed = numbers.isEmpty() || body.startsWith("id: 1\ndata: " + seal + "\n");
            return consecutive
                    && sealed
                    && (!isWhole() || end == body.length() && numbers.size() == SilentTarget.EVENTS);
        }
    }

    KeptCaller(InetSocketAddress entry) {
        this.entry = entry;
    }

    /** Sends a request, over the kept connection if there is one, and reads its answer. */
    Answer call(String id, String path) {
        long sentAt = System.nanoTime();
        Socket socket;
        try {
            socket = connection.isPresent() ? connection.get() : connect();
            socket.getOutputStream().write(request(id, path).getBytes(StandardCharsets.US_ASCII));
            sentAt = System.nanoTime();
        } catch (IOException unsent) {
            close();
            return new Answer(id, path, sentAt, System.nanoTime(), Ending.UNSENT, 0, "", "");
        }
        return read(socket, id, path, sentAt);
    }

    boolean isConnected() {
        return connection.isPresent();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(entry.getAddress(), entry.getPort());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        connection = Optional.of(socket);
        return socket;
    }

    private static String request(String id, String path) {
        boolean stream = path.startsWith("/chat") || path.startsWith("/flow");
        return String.format(
                Locale.ROOT,
                "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s"
                        + "Content-Length: 2\r\n\r\nhi",
                path,
                id,
                DEADLINE_MILLIS,
                FakePlatform.KEY,
                stream ? "X-Model: base\r\nX-Token-Count: 100,5\r\n" : "");
    }

    private Answer read(Socket socket, String id, String path, long sentAt) {
        int status = 0;
        String seal = "";
        StringBuilder body = new StringBuilder();
        Ending ending = Ending.WHOLE;
        try {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            status = Integer.parseInt(HttpMessages.readLine(in).split(" ")[1]);
            Map<String, String> headers = HttpMessages.readHeaders(in);
            seal = headers.getOrDefault("X-Server-Seal", "");
            HttpMessages.readBodyTo(body, in, headers);
            if ("close".equalsIgnoreCase(headers.get("Connection"))) {
                close();
            }
        } catch (SocketTimeoutException late) {
            ending = Ending.UNANSWERED;
            close();
        } catch (IOException broken) {
            ending = status == 0 ? Ending.CLOSED : Ending.BROKEN;
            close();
        }
        return new Answer(id, path, sentAt, System.nanoTime(), ending, status, seal, body.toString());
    }

    @Override
    public void close() {
        connection.ifPresent(socket -> {
            try {
                socket.close();
            } catch (IOException alreadyClosed) {
                // The connection is gone.
            }
        });
        connection = Optional.empty();
    }
}
