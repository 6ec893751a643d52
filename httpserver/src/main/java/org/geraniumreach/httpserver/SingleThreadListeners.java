package org.geraniumreach.httpserver;

import java.net.InetSocketAddress;

import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

/**
 * Creates network listeners that are served by one thread each.
 *
 * <p>An instance has one core, where handing requests over between threads costs wake-ups without any gain. Stateless and safe for
 * use by several threads.
 */
public final class SingleThreadListeners {

    private SingleThreadListeners() {}

    /**
     * Creates a listener that is not started yet.
     *
     * @param name the listener's name, not null
     * @param address the address on which it listens, not null
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
