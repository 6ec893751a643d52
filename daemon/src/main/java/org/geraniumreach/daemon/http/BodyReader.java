package org.geraniumreach.daemon.http;

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
final class BodyReader implements ReadHandler {

    private static final int BUFFER = 8_192;

    private final NIOInputStream input;
    private final HttpLimits limits;
    private final Consumer<byte[]> whole;
    private final Consumer<ServingException> refused;
    private final ByteArrayOutputStream content = new ByteArrayOutputStream();
    private boolean done;

    private BodyReader(
            NIOInputStream input, HttpLimits limits, Consumer<byte[]> whole, Consumer<ServingException> refused) {
        this.input = input;
        this.limits = limits;
        this.whole = whole;
        this.refused = refused;
    }

    static void read(Request request, HttpLimits limits, Consumer<byte[]> whole, Consumer<ServingException> refused) {
        if (request.getContentLengthLong() > limits.body().bytes()) {
            refused.accept(tooLarge(limits));
            return;
        }
        NIOInputStream input = request.getNIOInputStream();
        input.notifyAvailable(new BodyReader(input, limits, whole, refused));
    }

    @Override
    public void onDataAvailable() throws IOException {
        take();
        if (!done) {
            input.notifyAvailable(this);
        }
    }

    @Override
    public void onAllDataRead() throws IOException {
        take();
        if (!done) {
            done = true;
            whole.accept(content.toByteArray());
        }
    }

    @Override
    public void onError(Throwable failure) {
        if (!done) {
            done = true;
            refused.accept(ServingException.notRun(ResultCode.MALFORMED_REQUEST, "the body broke off")
                    .withCause(failure));
        }
    }

    private void take() throws IOException {
        byte[] buffer = new byte[BUFFER];
        while (!done && input.isReady()) {
            int count = input.read(buffer);
            if (count < 0) {
                return;
            }
            if (content.size() + count > limits.body().bytes()) {
                done = true;
                refused.accept(tooLarge(limits));
                return;
            }
            content.write(buffer, 0, count);
        }
    }

    private static ServingException tooLarge(HttpLimits limits) {
        return ServingException.notRun(
                ResultCode.BODY_TOO_LARGE, "the body is above " + limits.body().bytes() + " bytes");
    }
}
