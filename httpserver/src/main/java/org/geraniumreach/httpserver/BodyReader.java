package org.geraniumreach.httpserver;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.Consumer;

import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServingException;
import org.glassfish.grizzly.ReadHandler;
import org.glassfish.grizzly.http.io.NIOInputStream;
import org.glassfish.grizzly.http.server.Request;

/**
 * Reads the body of a call without holding a thread while the caller sends it.
 *
 * <p>A caller that sends slowly would otherwise hold one of few worker threads for as long as it likes. Invariant: exactly
 * one of the two consumers is called, once; no more than the limit is held. Grizzly calls it by one thread at a time.
 */
public final class BodyReader implements ReadHandler {

    private static final int BUFFER_BYTES = 8_192;

    private final NIOInputStream input;
    private final long maxBytes;
    private final Consumer<byte[]> onBody;
    private final Consumer<ServingException> onRefused;
    private final ByteArrayOutputStream content = new ByteArrayOutputStream();
    private boolean ended;

    private BodyReader(NIOInputStream input, long largest, Consumer<byte[]> whole, Consumer<ServingException> refused) {
        this.input = input;
        this.maxBytes = largest;
        this.onBody = whole;
        this.onRefused = refused;
    }

    /**
     * Reads a request's body.
     *
     * @param request the request, whose response is suspended, not null
     * @param largest the greatest number of bytes taken
     * @param whole told of the body once it is whole, not null
     * @param refused told if it is too large or breaks off, not null
     */
    public static void read(Request request, long largest, Consumer<byte[]> whole, Consumer<ServingException> refused) {
        if (request.getContentLengthLong() > largest) {
            refused.accept(tooLarge(largest));
            return;
        }
        NIOInputStream input = request.getNIOInputStream();
        input.notifyAvailable(new BodyReader(input, largest, whole, refused));
    }

    @Override
    public void onDataAvailable() throws IOException {
        readAvailable();
        if (!ended) {
            input.notifyAvailable(this);
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

    private static ServingException tooLarge(long largest) {
        return ServingException.notRun(ResultCode.BODY_TOO_LARGE, "the body is above " + largest + " bytes");
    }
}
