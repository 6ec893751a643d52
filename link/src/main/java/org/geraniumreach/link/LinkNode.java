package org.geraniumreach.link;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.Hello;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.InstanceId;

/**
 * The links of one process: accepts connections and maintains outgoing ones.
 *
 * <p>Invariants: a link is used in both directions, whichever side opened it; of two incarnations of an instance only
 * the newer has links. No input from a peer can stop the process or close another peer's link. Safe for use by several
 * threads.
 */
public final class LinkNode implements Links, AutoCloseable {

    private static final int ACCEPT_BACKLOG = 1024;
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 2;

    private final LinkSettings settings;
    private final Supplier<Hello> localHello;
    private final LinkEventListener events;
    private final EventLoopGroup eventLoops;
    private final boolean ownsEventLoops;
    private final HandlerRegistry handlers = new HandlerRegistry();
    private final LinkTable<LinkChannel> table = new LinkTable<>();
    private final Map<InstanceId, ReconnectingLink> reconnectingLinks = new ConcurrentHashMap<>();
    private volatile Channel server;
    private volatile boolean closed;

    private LinkNode(
            LinkSettings settings,
            Supplier<Hello> localHello,
            LinkEventListener events,
            EventLoopGroup eventLoops,
            boolean ownsEventLoops) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.localHello = Objects.requireNonNull(localHello, "localHello");
        this.events = Objects.requireNonNull(events, "events");
        this.eventLoops = Objects.requireNonNull(eventLoops, "eventLoops");
        this.ownsEventLoops = ownsEventLoops;
    }

    /**
     * Creates a node that neither listens nor connects yet, so that handlers can be registered before the first frame.
     *
     * @param settings the settings of links, not null
     * @param localHello supplies the Hello to send on each new connection, not null
     * @param events receives events for operators, not null
     * @return the node, not null
     */
    public static LinkNode create(LinkSettings settings, Supplier<Hello> localHello, LinkEventListener events) {
        EventLoopGroup ownLoops = new NioEventLoopGroup(settings.threads(), new DefaultThreadFactory("link", true));
        return new LinkNode(settings, localHello, events, ownLoops, true);
    }

    /**
     * Creates a node on shared event loops, which it does not shut down.
     *
     * @param settings the settings of links, not null
     * @param localHello supplies the Hello to send on each new connection, not null
     * @param events receives events for operators, not null
     * @param eventLoops the event loops, not null
     * @return the node, not null
     */
    public static LinkNode createOn(
            LinkSettings settings, Supplier<Hello> localHello, LinkEventListener events, EventLoopGroup eventLoops) {
        return new LinkNode(settings, localHello, events, eventLoops, false);
    }

    /**
     * Starts to accept connections.
     *
     * @param address the address to listen on; port 0 selects any free port, not null
     * @return the address listened on, not null
     * @throws IOException if the address cannot be bound
     */
    public InetSocketAddress listen(InetSocketAddress address) throws IOException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                .childHandler(new ConnectionInitializer(Optional.empty()));
        ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen on " + address, bound.cause());
        }
        server = bound.channel();
        return (InetSocketAddress) server.localAddress();
    }

    private WriteBufferWaterMark waterMark() {
        return new WriteBufferWaterMark(settings.writeBufferLow(), settings.writeBufferHigh());
    }

    /** Initializes the pipeline of a new connection. */
    private final class ConnectionInitializer extends ChannelInitializer<Channel> {
        private final Optional<InstanceId> expected;

        private ConnectionInitializer(Optional<InstanceId> expected) {
            this.expected = expected;
        }

        @Override
        protected void initChannel(Channel channel) {
            LinkPipeline.configure(
                    channel.pipeline(),
                    settings,
                    new LinkChannel(settings, handlers, new ConnectionOwner(expected), expected.isEmpty()));
        }
    }

    /** Applies this node's rules to one connection. */
    private final class ConnectionOwner implements LinkChannel.Owner {
        private final Optional<InstanceId> expected;

        private ConnectionOwner(Optional<InstanceId> expected) {
            this.expected = expected;
        }

        @Override
        public Hello localHello() {
            return localHello.get();
        }

        @Override
        public String admit(LinkChannel link) {
            if (expected.isPresent() && !expected.get().equals(link.instance())) {
                return "not the expected instance " + expected.get();
            }
            LinkTable.Admission<LinkChannel> admission = table.add(link);
            if (!admission.admitted()) {
                return "a newer incarnation is connected";
            }
            admission.superseded().forEach(old -> old.close("superseded by a new connection"));
            Optional.ofNullable(reconnectingLinks.get(link.instance())).ifPresent(ReconnectingLink::onLinkOpened);
            return "";
        }

        @Override
        public void onClosed(LinkChannel link, String reason) {
            if (link.instance() != null) {
                table.remove(link);
                Optional.ofNullable(reconnectingLinks.get(link.instance())).ifPresent(ReconnectingLink::onLinkClosed);
            }
            if (!closed) {
                onEvent(EventCode.LINK_LOST, link.description() + ": " + reason);
            }
        }

        @Override
        public void onEvent(EventCode event, String detail) {
            events.onEvent(event, detail);
        }
    }

    /** Opens connections for reconnecting links. */
    private final class NodeConnector implements ReconnectingLink.Connector {

        @Override
        public boolean isOpen(InstanceId instance) {
            return table.find(instance).isPresent();
        }

        @Override
        public Bootstrap bootstrap(InstanceId instance) {
            return new Bootstrap()
                    .group(eventLoops)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                            settings.connectLimit().toMillis())
                    .option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                    .handler(new ConnectionInitializer(Optional.of(instance)));
        }
    }

    @Override
    public void keep(InstanceId instance, InetSocketAddress address) {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(address, "address");
        reconnectingLinks.compute(instance, (name, present) -> {
            if (present != null && present.address().equals(address)) {
                return present;
            }
            if (present != null) {
                present.release();
                table.find(instance).ifPresent(open -> open.close("its address has changed"));
            }
            ReconnectingLink link = new ReconnectingLink(
                    instance,
                    address,
                    eventLoops.next(),
                    settings,
                    new NodeConnector(),
                    new SplittableRandom(ThreadLocalRandom.current().nextLong()));
            link.open();
            return link;
        });
    }

    @Override
    public void release(InstanceId instance) {
        ReconnectingLink link = reconnectingLinks.remove(Objects.requireNonNull(instance, "instance"));
        if (link != null) {
            link.release();
        }
        table.find(instance).ifPresent(open -> open.close("released"));
    }

    @Override
    public Optional<Peer> find(InstanceId instance) {
        return table.find(instance).map(Peer.class::cast);
    }

    @Override
    public List<Peer> peers() {
        return List.copyOf(table.newest());
    }

    @Override
    public void registerHandler(Set<Frame.BodyCase> kinds, FrameHandler handler) {
        handlers.add(kinds, Objects.requireNonNull(handler, "handler"));
        table.all().forEach(link -> link.scheduleNotifyOpened(handler));
    }

    /**
     * Returns a timer that runs tasks on the event loops. The tasks must not block.
     *
     * @return the timer, not null
     */
    public ScheduledExecutorService timer() {
        return eventLoops;
    }

    @Override
    public void close() {
        closed = true;
        reconnectingLinks.values().forEach(ReconnectingLink::release);
        reconnectingLinks.clear();
        Channel listening = server;
        if (listening != null) {
            listening.close();
        }
        table.all().forEach(link -> link.close("this process is shutting down"));
        if (ownsEventLoops) {
            eventLoops.shutdownGracefully(0, SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }
}
