package org.geraniumreach.integration;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Gives each test free ports of loopback, below those that the machine hands out by itself.
 *
 * <p>Safe for use by several threads.
 */
final class Ports {

    private static final int FIRST = 24_000;
    private static final int LAST = 31_000;
    private static final AtomicInteger NEXT =
            new AtomicInteger(FIRST + (int) (ProcessHandle.current().pid() % 60) * 100);

    /** Takes ports that follow one another. */
    int take(int count) {
        while (true) {
            int first = NEXT.getAndAdd(count);
            if (first + count > LAST) {
                NEXT.set(FIRST);
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
