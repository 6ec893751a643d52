package org.geraniumreach.link;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import org.geraniumreach.model.InstanceId;

/**
 * Keeps a link to one instance open by reconnecting with back-off whenever there is none.
 *
 * <p>Invariants: at most one connection attempt is in progress at a time, and none is made while a link to the instance
 * is open, whichever side opened it. All state is confined to one event loop; the methods may be called by several
 * threads.
 */
final class ReconnectingLink {

    private final InstanceId instance;
    private final InetSocketAddress address;
    private final EventLoop loop;
    private final Connector connector;
    private final Backoff backoff;
    private boolean connecting;
    private boolean connectScheduled;
    private boolean released;

    ReconnectingLink(
            InstanceId instance,
            InetSocketAddress address,
            EventLoop loop,
            LinkSettings settings,
            Connector connector,
            RandomGenerator random) {
        this.instance = instance;
        this.address = address;
        this.loop = loop;
        this.connector = connector;
        this.backoff = new Backoff(settings.leastBackoff(), settings.greatestBackoff(), random);
    }

    /** Provides connections to instances. */
    interface Connector {
        boolean isOpen(InstanceId instance);

        /**
         * Creates the bootstrap of a connection to an instance.
         *
         * @param instance the instance expected at the remote end, not null
         * @return the bootstrap, not null
         */
        Bootstrap bootstrap(InstanceId instance);
    }

    InetSocketAddress address() {
        return address;
    }

    private void executeOnLoop(Runnable task) {
        if (!loop.isShuttingDown()) {
            loop.execute(task);
        }
    }

    void open() {
        executeOnLoop(this::connect);
    }

    void release() {
        executeOnLoop(() -> released = true);
    }

    void onLinkOpened() {
        executeOnLoop(backoff::reset);
    }

    void onLinkClosed() {
        executeOnLoop(this::scheduleConnect);
    }

    private void scheduleConnect() {
        if (released || connectScheduled || loop.isShuttingDown()) {
            return;
        }
        connectScheduled = true;
        loop.schedule(
                () -> {
                    connectScheduled = false;
                    connect();
                },
                backoff.nextNanos(),
                TimeUnit.NANOSECONDS);
    }

    private void connect() {
        if (released || connecting || connector.isOpen(instance)) {
            return;
        }
        connecting = true;
        ChannelFuture connectFuture = connector.bootstrap(instance).connect(address);
        connectFuture.addListener(future -> executeOnLoop(() -> onConnectCompleted(connectFuture)));
    }

    private void onConnectCompleted(ChannelFuture connectFuture) {
        connecting = false;
        if (!connectFuture.isSuccess()) {
            scheduleConnect();
            return;
        }
        connectFuture.channel().closeFuture().addListener(future -> onLinkClosed());
    }
}
