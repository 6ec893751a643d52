package org.geraniumreach.httpserver;

import java.net.InetSocketAddress;

import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

/**
 * Makes listeners that one thread serves.
 *
 * <p>An instance has one core, and handing a request from thread to thread costs wake-ups and gains nothing. Stateless and safe for
 * use by several threads.
 */
public final class OneThreadListener {

    private OneThreadListener() {}

    /**
     * Makes a listener that has not begun.
     *
     * @param name its name in logs, not null
     * @param address where it listens, not null
     * @return the listener, not null
     */
    public static NetworkListener create(String name, InetSocketAddress address) {
        NetworkListener listener =
                new NetworkListener(name, address.getAddress().getHostAddress(), address.getPort());
        listener.getTransport().setTcpNoDelay(true);
        listener.getTransport().setReuseAddress(true);
        listener.getTransport().setSelectorRunnersCount(1);
        listener.getTransport().setIOStrategy(SameThreadIOStrategy.getInstance());
        listener.getTransport().setWorkerThreadPoolConfig(null);
        return listener;
    }
}
