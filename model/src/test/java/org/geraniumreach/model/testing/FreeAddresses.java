package org.geraniumreach.model.testing;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Gives out addresses on loopback that servers can listen on later, and again after they have been closed.
 *
 * <p>Invariants: no address is given out twice, neither in this process nor in another one that uses this class at the same time, and all ports are
 * below those that operating systems use for outgoing connections, one of which could take an address before it is listened on. Safe for use by
 * several threads.
 */
public final class FreeAddresses {

    private static final int FIRST_PORT = 12_000;
    private static final int BLOCK_PORTS = 500;
    private static final int BLOCK_COUNT = 16;

    /** Listens on the first port of each block, as long as the process lives, so that no other process uses the block. */
    private static final List<ServerSocket> RESERVATIONS = new ArrayList<>();

    private static Block block = new Block(0, 0);
    private static int nextBlock;

    /** The ports of a block that have not been given out. */
    private record Block(int nextPort, int endPort) {}

    private FreeAddresses() {}

    /**
     * Gets an address.
     *
     * @return the address, not null
     * @throws IOException if none is free
     */
    public static synchronized InetSocketAddress next() throws IOException {
        while (true) {
            if (block.nextPort() == block.endPort()) {
                block = reserveBlock();
            }
            int port = block.nextPort();
            block = new Block(port + 1, block.endPort());
            try (ServerSocket probe = listen(port)) {
                return (InetSocketAddress) probe.getLocalSocketAddress();
            } catch (BindException inUse) {
                // The next port may be free.
            }
        }
    }

    private static Block reserveBlock() throws IOException {
        while (nextBlock < BLOCK_COUNT) {
            int port = FIRST_PORT + nextBlock++ * BLOCK_PORTS;
            try {
                RESERVATIONS.add(listen(port));
                return new Block(port + 1, port + BLOCK_PORTS);
            } catch (BindException reserved) {
                // Another process holds the block.
            }
        }
        throw new IOException("no free block of ports from " + FIRST_PORT);
    }

    private static ServerSocket listen(int port) throws IOException {
        return new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"));
    }
}
