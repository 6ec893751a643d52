package org.geraniumreach.standins.http;

import java.io.IOException;

import org.glassfish.grizzly.WriteHandler;
import org.glassfish.grizzly.http.io.NIOOutputStream;
import org.glassfish.grizzly.http.server.Response;

/**
 * Writes the lines of a streamed answer with back-pressure.
 *
 * <p>Invariant: once the connection is broken or the answer is finished, writes are ignored without an error. Writing
 * methods must be called by one thread at a time; {@link #isOpen} is safe for use by several threads.
 */
public final class LineSink {

    private final Response response;
    private final OpenConnection connection;
    private final NIOOutputStream output;
    private volatile boolean open = true;

    LineSink(Response response, OpenConnection connection) {
        this.response = response;
        this.connection = connection;
        this.output = response.getNIOOutputStream();
    }

    public boolean isOpen() {
        return open;
    }

    /**
     * Queries whether more can be written without unbounded buffering.
     *
     * @return true if so
     */
    public boolean canWrite() {
        return open && (connection.isSilent() || output.canWrite());
    }

    /**
     * Registers an action to run once, when more can be written.
     *
     * @param action the action, not null
     */
    public void whenWritable(Runnable action) {
        output.notifyCanWrite(new WriteHandler() {
            @Override
            public void onWritePossible() {
                action.run();
            }

            @Override
            public void onError(Throwable failure) {
                open = false;
            }
        });
    }

    /**
     * Writes and flushes bytes.
     *
     * @param bytes the bytes, not null
     */
    public void write(byte[] bytes) {
        if (!open || connection.isSilent()) {
            return;
        }
        try {
            output.write(bytes);
            output.flush();
        } catch (IOException | RuntimeException e) {
            // The caller has disconnected, which is not an error of the stand-in.
            open = false;
        }
    }

    /** Completes the answer. */
    public void finish() {
        if (!open || connection.isSilent()) {
            return;
        }
        open = false;
        try {
            output.close();
        } catch (IOException | RuntimeException e) {
            connection.close();
        }
        response.resume();
    }

    /** Closes the connection without completing the answer. */
    public void drop() {
        open = false;
        connection.close();
    }
}
