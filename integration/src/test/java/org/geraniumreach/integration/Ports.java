package org.geraniumreach.integration;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates free loopback ports below the ephemeral port range of the operating system.
 *
 * <p>Thread-safe.
 */
final class Ports {

    private static final int FIRST_PORT = 24_000;
    private static final int PORT_LIMIT = 31_000;
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger(FIRST_PORT + (int) (ProcessHandle.current().pid() % 60) * 100);

    /** Allocates consecutive ports and returns the first. */
    int allocate(int count) {
        while (true) {
            int first = NEXT_PORT.getAndAdd(count);
            if (first + count > PORT_LIMIT) {
                NEXT_PORT.set(FIRST_PORT);
            } else if (areFree(first, count)) {
                return first;
            }
        }
    }

    private static boolean areFree(int first, int count) {
        for (int port = first; port < first + count; port++) {
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                probe.getLocalPort();
            } catch (IOException taken) {
                return false;
            }
        }
        return true;
    }
}
