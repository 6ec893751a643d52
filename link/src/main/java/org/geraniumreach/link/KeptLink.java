package org.geraniumreach.link;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import org.geraniumreach.model.InstanceId;

/**
 * Keeps a link to one instance open: whenever there is none, it opens a new connection after a wait.
 *
 * <p>Invariants: at most one connection of this keeper is being opened at a time, and none while a link to the instance is
 * open, whoever opened it. All state is confined to one event loop; the methods may be called by several threads.
 */
final class KeptLink {

    private final InstanceId instance;
    private final InetSocketAddress address;
    private final EventLoop loop;
    private final Opener opener;
    private final Backoff backoff;
    private boolean connecting;
    private boolean waiting;
    private boolean released;

    KeptLink(
            InstanceId instance,
            InetSocketAddress address,
            EventLoop loop,
            LinkSettings settings,
            Opener opener,
            RandomGenerator random) {
        this.instance = instance;
        this.address = address;
        this.loop = loop;
        this.opener = opener;
        this.backoff = new Backoff(settings.leastBackoff(), settings.greatestBackoff(), random);
    }

    /** Opens connections. */
    interface Opener {
        boolean isOpen(InstanceId instance);

        /**
         * Makes what opens a connection to an instance.
         *
         * @param instance the instance expected at the other end, not null
         * @return the bootstrap, not null
         */
        Bootstrap bootstrap(InstanceId instance);
    }

    InetSocketAddress address() {
        return address;
    }

    private void onLoop(Runnable task) {
        if (!loop.isShuttingDown()) {
            loop.execute(task);
        }
    }

    void open() {
        onLoop(this::connect);
    }

    void release() {
        onLoop(() -> released = true);
    }

    void opened() {
        onLoop(backoff::reset);
    }

    void closed() {
        onLoop(this::connectLater);
    }

    private void connectLater() {
        if (released || waiting || loop.isShuttingDown()) {
            return;
        }
        waiting = true;
        loop.schedule(
                () -> {
                    waiting = false;
                    connect();
                },
                backoff.nextNanos(),
                TimeUnit.NANOSECONDS);
    }

    private void connect() {
        if (released || connecting || opener.isOpen(instance)) {
            return;
        }
        connecting = true;
        ChannelFuture opening = opener.bootstrap(instance).connect(address);
        opening.addListener(done -> onLoop(() -> connected(opening)));
    }

    private void connected(ChannelFuture opening) {
        connecting = false;
        if (!opening.isSuccess()) {
            connectLater();
            return;
        }
        opening.channel().closeFuture().addListener(done -> closed());
    }
}
