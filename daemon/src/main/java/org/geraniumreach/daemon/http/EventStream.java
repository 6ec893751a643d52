package org.geraniumreach.daemon.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import org.glassfish.grizzly.WriteHandler;
import org.glassfish.grizzly.http.io.NIOOutputStream;
import org.glassfish.grizzly.http.server.Response;

/**
 * A reply of server-sent events that is being written.
 *
 * <p>Invariant: what is written after the end is passed over, and the end is reached once. Contract: a writer that respects
 * {@link #onWritable} keeps the memory of a slow caller bounded. Safe for use by several threads: a write and the end
 * exclude one another under the stream's lock.
 */
public final class EventStream {

    private static final byte[] EVENT_PREFIX = "data: ".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] EVENT_SUFFIX = "\n\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] KEEP_ALIVE_COMMENT = ": keep-alive\n\n".getBytes(StandardCharsets.US_ASCII);

    private final Response response;
    private final NIOOutputStream output;
    private final Runnable onFinished;
    private boolean ended;

    EventStream(Response response, Runnable finished) {
        this.response = response;
        this.output = response.getNIOOutputStream();
        this.onFinished = finished;
    }

    /**
     * Writes an event.
     *
     * @param data its data, one line of text, not null
     * @return false if the caller is gone or the stream has ended
     */
    public synchronized boolean writeEvent(byte[] data) {
        return write(EVENT_PREFIX, data, EVENT_SUFFIX);
    }

    /**
     * Writes a comment, which callers pass over, so that whatever stands between keeps the connection.
     *
     * @return false if the caller is gone or the stream has ended
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
        } catch (IOException callerWentAway) {
            return false;
        }
    }

    /**
     * Registers what is done once the caller has taken enough of what was written.
     *
     * @param action run at once if there is room, not null
     * @param gone run if the caller goes away first, not null
     */
    public void onWritable(Runnable action, Runnable gone) {
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
                gone.run();
            }
        });
    }

    /** Ends the stream; harmless if it has ended. */
    public void end() {
        if (markEnded()) {
            onFinished.run();
        }
    }

    /** Breaks the stream off, so that the caller sees that its answer is not whole; harmless if it has ended. */
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
