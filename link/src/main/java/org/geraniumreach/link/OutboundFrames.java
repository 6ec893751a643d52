package org.geraniumreach.link;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.Channel;
import org.geraniumreach.messages.Frame;

/**
 * An outbound queue of frames for one channel, shared by several threads.
 *
 * <p>A channel writes immediately when called on its event loop but defers writes from other threads, so a frame sent
 * on the event loop could overtake one that another thread sent earlier: a Resume would arrive before its Run, and the
 * companion would seal the attempt. Therefore frames sent on the event loop are queued too. Invariant: frames are
 * written in the order of {@link #add}. Safe for use by several threads.
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

    OutboundFrames(Channel channel, long limitBytes, Runnable writableCallback) {
        this.channel = channel;
        this.limitBytes = limitBytes;
        this.writableCallback = writableCallback;
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
     * Queries whether more bulk data may be added. If this returns false, the writable callback is called once when it
     * may.
     *
     * @return true if the queue and the channel's buffer are below their limits
     */
    boolean isWritable() {
        if (isBelowLimit()) {
            return true;
        }
        writableCallbackPending.set(true);
        // The queue may have drained between the check and setting the flag, and then no callback would follow.
        return isBelowLimit();
    }

    private boolean isBelowLimit() {
        return channel.isWritable() && queuedBytes.get() < limitBytes;
    }

    /** Calls the writable callback if it is pending and the queue is below its limit; runs on the event loop. */
    void onWritabilityChanged() {
        if (isBelowLimit() && writableCallbackPending.compareAndSet(true, false)) {
            writableCallback.run();
        }
    }
}
