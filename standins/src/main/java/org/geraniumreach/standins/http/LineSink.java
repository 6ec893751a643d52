package org.geraniumreach.standins.http;

import java.io.IOException;

import org.glassfish.grizzly.WriteHandler;
import org.glassfish.grizzly.http.io.NIOOutputStream;
import org.glassfish.grizzly.http.server.Response;

/**
 * Sends the lines of an answer as the caller takes them.
 *
 * <p>Invariant: after the connection broke or the answer was finished, nothing is sent and nothing fails. Calls of writing
 * come from one thread at a time; {@link #isOpen} is safe for all.
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
     * Queries whether more can be written without filling memory.
     *
     * @return true if so
     */
    public boolean canWrite() {
        return open && (connection.isSilent() || output.canWrite());
    }

    /**
     * Asks to be told once when more can be written.
     *
     * @param action what to do then, not null
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
     * Sends bytes at once.
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
            // The caller is gone, which is no fault of the stand-in.
            open = false;
        }
    }

    /** Ends the answer, whole. */
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

    /** Breaks the connection. */
    public void drop() {
        open = false;
        connection.close();
    }
}
