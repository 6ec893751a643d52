package org.geraniumreach.link;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.Channel;
import org.geraniumreach.messages.Frame;

/**
 * The frames on their way into one channel, in the order in which they were added by whatever threads.
 *
 * <p>A channel writes at once for its event loop but later for other threads, so a frame of the event loop would overtake
 * one that another thread sent before it: a Resume would arrive before its Run, and the companion would seal the attempt.
 * Here the event loop queues like all others. Invariant: frames are written in the order of {@link #add}. Safe for use by
 * several threads.
 */
final class OutboundFrames {

    private static final int MAXIMUM_FRAMES_PER_DRAIN = 256;

    private final Channel channel;
    private final long limitBytes;
    private final Runnable writableCallback;
    private final Queue<Frame> frames = new ConcurrentLinkedQueue<>();
    private final AtomicLong queuedBytes = new AtomicLong();
    private final AtomicBoolean drainScheduled = new AtomicBoolean();
    private final AtomicBoolean writableCallbackPending = new AtomicBoolean();

    OutboundFrames(Channel channel, long limitBytes, Runnable whenWritable) {
        this.channel = channel;
        this.limitBytes = limitBytes;
        this.writableCallback = whenWritable;
    }

    void add(Frame frame) {
        queuedBytes.addAndGet(frame.getSerializedSize());
        frames.add(frame);
        scheduleDrain();
    }

    private void scheduleDrain() {
        if (drainScheduled.compareAndSet(false, true)) {
            channel.eventLoop().execute(this::drain);
        }
    }

    private void drain() {
        drainScheduled.set(false);
        int written = 0;
        for (Frame next = frames.poll(); next != null; next = frames.poll()) {
            channel.write(next, channel.voidPromise());
            queuedBytes.addAndGet(-next.getSerializedSize());
            written++;
            if (written == MAXIMUM_FRAMES_PER_DRAIN) {
                scheduleDrain();
                break;
            }
        }
        channel.flush();
        onWritabilityChanged();
    }

    /**
     * Queries whether more bulk may be added; whoever is told that it may not is called once it may.
     *
     * @return true if it may
     */
    boolean isWritable() {
        if (isBelowLimit()) {
            return true;
        }
        writableCallbackPending.set(true);
        // The room may have come between the look and the note; then nobody would be called.
        return isBelowLimit();
    }

    private boolean isBelowLimit() {
        return channel.isWritable() && queuedBytes.get() < limitBytes;
    }

    /** Calls those who wait for room if there is some; runs on the event loop. */
    void onWritabilityChanged() {
        if (isBelowLimit() && writableCallbackPending.compareAndSet(true, false)) {
            writableCallback.run();
        }
    }
}
