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
 * One connection: Hello, heartbeats, and the passing on of frames.
 *
 * <p>Invariants: handlers are told of nothing before both Hellos, of {@link FrameHandler#opened} first and of {@link
 * FrameHandler#closed} last. A frame that cannot be read closes this connection and touches nothing else. What is not
 * final is confined to the channel's event loop, but for the fields marked volatile; {@link Peer}'s methods are safe for
 * use by several threads.
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

    /** What a connection asks of the node that it belongs to. */
    interface Owner {

        Hello localHello();

        /**
         * Decides on a connection that has said Hello.
         *
         * @param link the connection, not null
         * @return why it is refused, empty if it stays, not null
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
     * A peer that connects and says nothing would hold a connection, and its memory, for good; it gets no more than the
     * limit.
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
        List<FrameHandler> interested = handlers.forKind(frame.getBodyCase());
        if (interested.isEmpty() && REQUEST_KINDS.contains(frame.getBodyCase())) {
            // A request passed over in silence would be waited for until its deadline; a lost link is noticed.
            close("nobody here answers a " + frame.getBodyCase());
            return;
        }
        for (FrameHandler handler : interested) {
            notifyOpened(handler);
            callHandler(() -> handler.received(this, frame));
        }
    }

    private void onHello(Frame frame) {
        if (frame.getBodyCase() != Frame.BodyCase.HELLO) {
            refuse("the first frame is not a Hello");
            return;
        }
        Hello said = frame.getHello();
        if (said.getProtocolVersion() < MINIMUM_PROTOCOL_VERSION) {
            refuse("protocol version " + said.getProtocolVersion());
            return;
        }
        try {
            instance = InstanceId.of(said.getInstance());
        } catch (IllegalArgumentException invalid) {
            refuse(invalid.getMessage());
            return;
        }
        hello = said;
        String refusal = owner.admit(this);
        if (!refusal.isEmpty()) {
            close(refusal);
            return;
        }
        owner.onEvent(EventCode.LINK_OPENED, description());
        handlers.all().forEach(this::notifyOpened);
        scheduleTick();
    }

    /** All links of a process ping at the same moments, so that many links wake it no more often than one; processes differ. */
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
            close(settings.unansweredPings() + " pings without an answer");
            return;
        }
        send(Frame.newBuilder()
                .setPing(Ping.newBuilder().setNumber(health.pingNumber()))
                .build());
        scheduleTick();
    }

    /**
     * Tells a handler that was registered late of this link.
     *
     * @param handler the handler, not null
     */
    void scheduleNotifyOpened(FrameHandler handler) {
        channel.eventLoop().execute(() -> notifyOpened(handler));
    }

    private void notifyOpened(FrameHandler handler) {
        if (closeReason == null && channel.isActive() && notifiedHandlers.add(handler)) {
            callHandler(() -> handler.opened(this));
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        outbound.onWritabilityChanged();
    }

    private void notifyWritable() {
        notifyHandlers(handler -> handler.writable(this));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        String reason = closeReason != null ? closeReason : "closed by the other end";
        closeReason = reason;
        owner.onClosed(this, reason);
        notifyHandlers(handler -> handler.closed(this, reason));
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
            close("failure of this end");
        }
    }

    private void refuse(String what) {
        owner.onEvent(EventCode.FRAME_REFUSED, description() + ": " + what);
        close("refused " + what);
    }

    private void notifyHandlers(Consumer<FrameHandler> news) {
        notifiedHandlers.forEach(handler -> callHandler(() -> news.accept(handler)));
    }

    /**
     * Runs a handler's code. A fault in one handler must not end the link, which carries the work of all others.
     *
     * @param call the handler's code, not null
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
        // The other end would close the link over a frame above its limit, and with it the streams of everyone else.
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
