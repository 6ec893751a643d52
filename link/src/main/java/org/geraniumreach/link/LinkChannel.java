package org.geraniumreach.link;

import java.io.IOException;
import java.util.EnumSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.Hello;
import org.geraniumreach.messages.Ping;
import org.geraniumreach.messages.Pong;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.InstanceId;

/**
 * The protocol handler of one connection: exchanges Hello and heartbeats and dispatches other frames to handlers.
 *
 * <p>Invariants: handlers are not called before both Hellos have been exchanged; {@link FrameHandler#onOpened} is called
 * first and {@link FrameHandler#onClosed} last. A frame that cannot be decoded closes only this connection. Fields that
 * are neither final nor volatile are confined to the channel's event loop; {@link Peer}'s methods are safe for use by
 * several threads.
 */
final class LinkChannel extends SimpleChannelInboundHandler<Frame> implements Peer, LinkTable.Connection {

    private static final int MINIMUM_PROTOCOL_VERSION = 1;
    private static final long PHASE_STEP_NANOS = 100_003;
    private static final Set<Frame.BodyCase> REQUEST_KINDS =
            EnumSet.of(Frame.BodyCase.RUN, Frame.BodyCase.RESUME, Frame.BodyCase.CANCEL, Frame.BodyCase.SEAL);

    private final LinkSettings settings;
    private final HandlerRegistry handlers;
    private final Owner owner;
    private final boolean inbound;
    private final LinkHealth health;
    private final Set<FrameHandler> notifiedHandlers = new LinkedHashSet<>();
    private volatile Channel channel;
    private volatile OutboundFrames outbound;
    private volatile Hello hello;
    private volatile InstanceId instance;
    private volatile String closeReason;

    LinkChannel(LinkSettings settings, HandlerRegistry handlers, Owner owner, boolean inbound) {
        this.settings = settings;
        this.handlers = handlers;
        this.owner = owner;
        this.inbound = inbound;
        this.health = new LinkHealth(settings.unansweredPings());
    }

    /** The node that a connection belongs to. */
    interface Owner {

        Hello localHello();

        /**
         * Decides whether to accept a connection whose Hello has been received.
         *
         * @param link the connection, not null
         * @return why it is refused, empty if it is accepted, not null
         */
        String admit(LinkChannel link);

        void onClosed(LinkChannel link, String reason);

        void onEvent(EventCode event, String detail);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        outbound = new OutboundFrames(channel, settings.writeBufferHigh(), this::notifyWritable);
        send(Frame.newBuilder().setHello(owner.localHello()).build());
        context.executor().schedule(this::closeIfNoHello, settings.helloLimit().toNanos(), TimeUnit.NANOSECONDS);
    }

    /**
     * Closes the connection if no Hello has arrived; otherwise a silent peer would hold the connection and its memory
     * forever.
     */
    private void closeIfNoHello() {
        if (hello == null) {
            close("no Hello within " + settings.helloLimit());
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        if (closeReason != null) {
            return;
        }
        if (hello == null) {
            onHello(frame);
            return;
        }
        switch (frame.getBodyCase()) {
            case PING -> send(Frame.newBuilder()
                    .setPong(Pong.newBuilder().setNumber(frame.getPing().getNumber()))
                    .build());
            case PONG -> health.onPong(frame.getPong().getNumber());
            case HELLO -> refuse("a second Hello");
            case BODY_NOT_SET -> refuse("a frame of unknown type");
            default -> dispatch(frame);
        }
    }

    private void dispatch(Frame frame) {
        List<FrameHandler> matching = handlers.forKind(frame.getBodyCase());
        if (matching.isEmpty() && REQUEST_KINDS.contains(frame.getBodyCase())) {
            // If the request were ignored, its sender would wait until the deadline; it notices a closed link at once.
            close("no handler for " + frame.getBodyCase());
            return;
        }
        for (FrameHandler handler : matching) {
            notifyOpened(handler);
            callHandler(() -> handler.onFrame(this, frame));
        }
    }

    private void onHello(Frame frame) {
        if (frame.getBodyCase() != Frame.BodyCase.HELLO) {
            refuse("the first frame is not a Hello");
            return;
        }
        Hello received = frame.getHello();
        if (received.getProtocolVersion() < MINIMUM_PROTOCOL_VERSION) {
            refuse("protocol version " + received.getProtocolVersion());
            return;
        }
        try {
            instance = InstanceId.of(received.getInstance());
        } catch (IllegalArgumentException invalid) {
            refuse(invalid.getMessage());
            return;
        }
        hello = received;
        String refusal = owner.admit(this);
        if (!refusal.isEmpty()) {
            close(refusal);
            return;
        }
        owner.onEvent(EventCode.LINK_OPENED, description());
        handlers.all().forEach(this::notifyOpened);
        scheduleTick();
    }

    /**
     * Schedules the next ping. All links of a process ping at the same moments, so many links wake it no more often
     * than one. The phase differs between processes.
     */
    private void scheduleTick() {
        long interval = settings.pingInterval().toNanos();
        long phase = owner.localHello().getInstance().hashCode() * PHASE_STEP_NANOS;
        long delay = interval - Math.floorMod(System.nanoTime() - phase, interval);
        channel.eventLoop().schedule(this::tick, delay, TimeUnit.NANOSECONDS);
    }

    private void tick() {
        if (!channel.isActive()) {
            return;
        }
        if (health.tick() == LinkHealth.Action.CLOSE) {
            close(settings.unansweredPings() + " unanswered pings");
            return;
        }
        send(Frame.newBuilder()
                .setPing(Ping.newBuilder().setNumber(health.pingNumber()))
                .build());
        scheduleTick();
    }

    /**
     * Notifies a handler that was registered after this link was opened.
     *
     * @param handler the handler, not null
     */
    void scheduleNotifyOpened(FrameHandler handler) {
        channel.eventLoop().execute(() -> notifyOpened(handler));
    }

    private void notifyOpened(FrameHandler handler) {
        if (closeReason == null && channel.isActive() && notifiedHandlers.add(handler)) {
            callHandler(() -> handler.onOpened(this));
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        outbound.onWritabilityChanged();
    }

    private void notifyWritable() {
        notifyHandlers(handler -> handler.onWritable(this));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        String reason = closeReason != null ? closeReason : "closed by the peer";
        closeReason = reason;
        owner.onClosed(this, reason);
        notifyHandlers(handler -> handler.onClosed(this, reason));
        notifiedHandlers.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof DecoderException) {
            refuse(cause.getMessage());
        } else if (cause instanceof IOException) {
            close(String.valueOf(cause.getMessage()));
        } else {
            owner.onEvent(EventCode.UNEXPECTED_FAILURE, description() + ": " + cause);
            close("unexpected failure in this process");
        }
    }

    private void refuse(String problem) {
        owner.onEvent(EventCode.FRAME_REFUSED, description() + ": " + problem);
        close("refused " + problem);
    }

    private void notifyHandlers(Consumer<FrameHandler> notification) {
        notifiedHandlers.forEach(handler -> callHandler(() -> notification.accept(handler)));
    }

    /**
     * Calls a handler and reports its exceptions as events. A fault in one handler must not close the link, which all
     * handlers share.
     *
     * @param call the call to the handler, not null
     */
    private void callHandler(Runnable call) {
        try {
            call.run();
        } catch (RuntimeException failure) {
            owner.onEvent(EventCode.UNEXPECTED_FAILURE, description() + ": " + failure);
        }
    }

    @Override
    public Hello hello() {
        return hello;
    }

    @Override
    public InstanceId instance() {
        return instance;
    }

    @Override
    public long incarnation() {
        return hello.getIncarnation();
    }

    @Override
    public boolean isInbound() {
        return inbound;
    }

    @Override
    public boolean send(Frame frame) {
        if (closeReason != null || !channel.isActive()) {
            return false;
        }
        // The peer would close the link when it receives a frame above its limit, which would break all other streams
        // on it.
        if (frame.getSerializedSize() > settings.maximumFrameBytes()) {
            owner.onEvent(
                    EventCode.FRAME_REFUSED,
                    description() + ": not sent, " + frame.getSerializedSize() + " bytes of " + frame.getBodyCase());
            return false;
        }
        outbound.add(frame);
        return true;
    }

    @Override
    public boolean isWritable() {
        return outbound.isWritable();
    }

    @Override
    public void close(String reason) {
        Objects.requireNonNull(reason, "reason");
        if (closeReason == null) {
            closeReason = reason;
        }
        channel.close();
    }

    String description() {
        Channel open = channel;
        String address = open == null ? "?" : String.valueOf(open.remoteAddress());
        return (instance == null ? "unknown" : instance) + " at " + address;
    }
}
