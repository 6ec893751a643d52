package org.geraniumreach.httpserver;

import java.io.IOException;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;

/**
 * Queries whether the peer of a connection has closed its end, also if that has not been read yet.
 *
 * <p>Nothing is read, so that the connection's own reader misses nothing. A close behind bytes that have not been read does not show;
 * once the probe is closed itself, only a connection that is closed here does.
 * Safe for use by several threads.
 */
final class CloseProbe implements AutoCloseable {

    /** Bytes that the reader takes between two queries look like a close once; they would have to arrive anew each time. */
    private static final int QUERIES = 3;

    private final Selector selector;

    CloseProbe() throws IOException {
        this.selector = Selector.open();
    }

    /** Queries a connection; also true if it is closed here. */
    synchronized boolean isClosed(SocketChannel channel) {
        try {
            SelectionKey key = channel.register(selector, SelectionKey.OP_READ);
            try {
                return isAtEnd(channel, key);
            } finally {
                key.cancel();
                selector.selectedKeys().clear();
                // Otherwise a close of the channel would wait for the next query.
                selector.selectNow();
            }
        } catch (ClosedChannelException closed) {
            return true;
        } catch (IOException | CancelledKeyException | ClosedSelectorException unknown) {
            return !channel.isConnected();
        }
    }

    /** A connection that is readable without bytes has ended. */
    private boolean isAtEnd(SocketChannel channel, SelectionKey key) throws IOException {
        for (int query = 0; query < QUERIES; query++) {
            selector.selectedKeys().clear();
            selector.selectNow();
            if (!selector.selectedKeys().contains(key)
                    || channel.socket().getInputStream().available() > 0) {
                return false;
            }
        }
        return true;
    }

    @Override
    public void close() throws IOException {
        selector.close();
    }
}
