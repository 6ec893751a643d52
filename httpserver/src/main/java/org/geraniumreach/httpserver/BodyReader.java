package org.geraniumreach.httpserver;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.Consumer;

import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServingException;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.ReadHandler;
import org.glassfish.grizzly.http.io.NIOInputStream;
import org.glassfish.grizzly.http.server.Request;

/**
 * Reads the body of a request without blocking a thread.
 *
 * <p>With blocking reads a slow caller could occupy one of the few worker threads indefinitely. Invariants: exactly one of the two
 * consumers is called, once; no more bytes than the limit are buffered. Grizzly calls it from one thread at a time.
 */
public final class BodyReader implements ReadHandler {

    private static final int BUFFER_BYTES = 8_192;

    private final Connection<?> connection;
    private final NIOInputStream input;
    private final long maxBytes;
    private final Consumer<byte[]> onBody;
    private final Consumer<ServingException> onRefused;
    private final ByteArrayOutputStream content = new ByteArrayOutputStream();
    private boolean ended;

    private BodyReader(
            Connection<?> connection,
            NIOInputStream input,
            long maxBytes,
            Consumer<byte[]> onBody,
            Consumer<ServingException> onRefused) {
        this.connection = connection;
        this.input = input;
        this.maxBytes = maxBytes;
        this.onBody = onBody;
        this.onRefused = onRefused;
    }

    /**
     * Begins to read the body of a request.
     *
     * @param request the request, whose response is suspended, not null
     * @param maxBytes the maximum size of the body, in bytes
     * @param onBody receives the complete body, not null
     * @param onRefused receives the reason if the body is too large or incomplete, not null
     */
    public static void read(
            Request request, long maxBytes, Consumer<byte[]> onBody, Consumer<ServingException> onRefused) {
        if (request.getContentLengthLong() > maxBytes) {
            onRefused.accept(tooLarge(maxBytes));
            return;
        }
        NIOInputStream input = request.getNIOInputStream();
        Connection<?> connection = request.getRequest().getConnection();
        input.notifyAvailable(new BodyReader(connection, input, maxBytes, onBody, onRefused));
    }

    @Override
    public void onDataAvailable() throws IOException {
        readAvailable();
        if (!ended) {
            input.notifyAvailable(this);
            // Grizzly stops reading when it has passed on the second part of a body on the selector thread.
            connection.enableIOEvent(IOEvent.READ);
        }
    }

    @Override
    public void onAllDataRead() throws IOException {
        readAvailable();
        if (!ended) {
            ended = true;
            onBody.accept(content.toByteArray());
        }
    }

    @Override
    public void onError(Throwable failure) {
        if (!ended) {
            ended = true;
            onRefused.accept(ServingException.notRun(ResultCode.MALFORMED_REQUEST, "the body broke off")
                    .withCause(failure));
        }
    }

    private void readAvailable() throws IOException {
        byte[] buffer = new byte[BUFFER_BYTES];
        while (!ended && input.isReady()) {
            int count = input.read(buffer);
            if (count < 0) {
                return;
            }
            if (content.size() + count > maxBytes) {
                ended = true;
                onRefused.accept(tooLarge(maxBytes));
                return;
            }
            content.write(buffer, 0, count);
        }
    }

    private static ServingException tooLarge(long maxBytes) {
        return ServingException.notRun(ResultCode.BODY_TOO_LARGE, "the body is above " + maxBytes + " bytes");
    }
}
