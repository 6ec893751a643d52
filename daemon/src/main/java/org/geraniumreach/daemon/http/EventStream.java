package org.geraniumreach.daemon.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import org.glassfish.grizzly.WriteHandler;
import org.glassfish.grizzly.http.io.NIOOutputStream;
import org.glassfish.grizzly.http.server.Response;

/**
 * A response of server-sent events that is being written.
 *
 * <p>Invariant: writes after the end are ignored, and the stream ends once. Contract: a writer that waits for {@link
 * #onWritable} before each write keeps the memory for a slow caller bounded. Safe for use by several threads: writing
 * and ending exclude each other under the stream's lock.
 */
public final class EventStream {

    private static final byte[] EVENT_PREFIX = "data: ".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] EVENT_SUFFIX = "\n\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] KEEP_ALIVE_COMMENT = ": keep-alive\n\n".getBytes(StandardCharsets.US_ASCII);

    private final Response response;
    private final NIOOutputStream output;
    private final Runnable onFinished;
    private boolean ended;

    EventStream(Response response, Runnable onFinished) {
        this.response = response;
        this.output = response.getNIOOutputStream();
        this.onFinished = onFinished;
    }

    /**
     * Writes an event.
     *
     * @param data the data of the event, one line of text, not null
     * @return false if the caller has disconnected or the stream has ended
     */
    public synchronized boolean writeEvent(byte[] data) {
        return write(EVENT_PREFIX, data, EVENT_SUFFIX);
    }

    /**
     * Writes a comment, which clients ignore, so that proxies do not close an idle connection.
     *
     * @return false if the caller has disconnected or the stream has ended
     */
    public synchronized boolean writeKeepAlive() {
        return write(KEEP_ALIVE_COMMENT);
    }

    private boolean write(byte[]... parts) {
        if (ended) {
            return false;
        }
        try {
            for (byte[] part : parts) {
                output.write(part);
            }
            output.flush();
            return true;
        } catch (IOException disconnected) {
            return false;
        }
    }

    /**
     * Runs an action once the output buffer can accept another write.
     *
     * @param action run immediately if the buffer has space, not null
     * @param onDisconnected run if the caller disconnects first, not null
     */
    public void onWritable(Runnable action, Runnable onDisconnected) {
        if (output.canWrite()) {
            action.run();
            return;
        }
        output.notifyCanWrite(new WriteHandler() {
            @Override
            public void onWritePossible() {
                action.run();
            }

            @Override
            public void onError(Throwable failure) {
                onDisconnected.run();
            }
        });
    }

    /** Ends the stream; no effect if it has ended. */
    public void end() {
        if (markEnded()) {
            onFinished.run();
        }
    }

    /**
     * Closes the connection, so that the caller sees that the answer is incomplete; no effect if the stream has ended.
     */
    public void abort() {
        if (markEnded()) {
            response.getRequest().getRequest().getConnection().closeSilently();
            onFinished.run();
        }
    }

    private synchronized boolean markEnded() {
        boolean first = !ended;
        ended = true;
        return first;
    }
}
