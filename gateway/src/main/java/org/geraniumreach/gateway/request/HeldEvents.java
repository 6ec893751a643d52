package org.geraniumreach.gateway.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

import org.geraniumreach.gateway.port.TargetAnswerHead;
import org.geraniumreach.gateway.port.TargetAnswerListener.NotExecuted;
import org.geraniumreach.gateway.retry.FailureCause;
import org.geraniumreach.gateway.stream.Recording;

/**
 * Holds back the parts of an attempt, and what follows them, until the origin of its stream is recorded.
 *
 * <p>Invariant: events are passed on in their order, and none after the attempt has been replaced or its exchange has ended.
 * Confined to the event loop.
 */
final class HeldEvents implements Attempt.Listener {

    /** Many times what a target generates until the origin is recorded. */
    private static final int MAX_HELD_BYTES = 256 * 1024;

    private final Attempt.Listener listener;
    private final Recording recording;
    private final Progress progress;
    private final Deque<Runnable> held = new ArrayDeque<>();
    private int heldBytes;

    /** The attempt that the events belong to. */
    interface Progress {

        /** Queries whether the exchange still waits for the result of the attempt. */
        boolean isAwaited();

        /** Cancels the attempt. */
        void cancel();
    }

    HeldEvents(Attempt.Listener listener, Recording recording, Progress progress) {
        this.listener = Objects.requireNonNull(listener, "listener");
        this.recording = Objects.requireNonNull(recording, "recording");
        this.progress = Objects.requireNonNull(progress, "progress");
        recording.onConfirmed(this::passOn);
    }

    private void passOn() {
        while (!held.isEmpty() && progress.isAwaited()) {
            held.removeFirst().run();
        }
        held.clear();
    }

    private void passOrHold(Runnable event) {
        if (recording.isConfirmed() || held.isEmpty()) {
            event.run();
        } else {
            held.addLast(event);
        }
    }

    @Override
    public boolean maySend() {
        return listener.maySend();
    }

    @Override
    public void onForbidden() {
        held.clear();
        listener.onForbidden();
    }

    @Override
    public void onSilent(Attempt.Silence silence) {
        listener.onSilent(silence);
    }

    @Override
    public void onResumed() {
        listener.onResumed();
    }

    @Override
    public void onNotExecuted(NotExecuted reason) {
        passOrHold(() -> listener.onNotExecuted(reason));
    }

    @Override
    public boolean onHead(TargetAnswerHead head) {
        return listener.onHead(head);
    }

    @Override
    public boolean onPart(byte[] part) {
        if (recording.isConfirmed()) {
            return listener.onPart(part);
        }
        heldBytes += part.length;
        held.addLast(() -> passPart(part));
        return heldBytes <= MAX_HELD_BYTES;
    }

    private void passPart(byte[] part) {
        if (!listener.onPart(part)) {
            held.clear();
            progress.cancel();
            listener.onFailed(FailureCause.BROKEN, "the events do not follow on one another");
        }
    }

    @Override
    public void onEnd() {
        passOrHold(listener::onEnd);
    }

    @Override
    public void onFailed(FailureCause cause, String reason) {
        passOrHold(() -> listener.onFailed(cause, reason));
    }
}
