package org.geraniumreach.link;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.function.Supplier;

import org.geraniumreach.messages.Chunk;
import org.geraniumreach.messages.End;
import org.geraniumreach.messages.Refused;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.MonotonicClock;

/**
 * An attempt in progress: it performs its tracker's actions on the current link and notifies its listener.
 *
 * <p>Invariants: the tracker is called and frames are sent under this object's lock, so frames are sent in the order of
 * the actions; the listener is called outside the lock and by one thread at a time, so it may take its own locks and
 * call back. Safe for use by several threads.
 */
final class SentAttempt implements AttemptHandle {

    private final AttemptTracker tracker;
    private final AttemptListener listener;
    private final MonotonicClock clock;
    private final LinkEventListener events;
    private final Runnable doneCallback;
    private final Queue<AttemptAction> pendingNotifications = new ArrayDeque<>();
    private Peer link;
    private boolean started;
    private boolean notifying;

    SentAttempt(
            AttemptTracker tracker,
            AttemptListener listener,
            MonotonicClock clock,
            LinkEventListener events,
            Runnable doneCallback) {
        this.tracker = tracker;
        this.listener = listener;
        this.clock = clock;
        this.events = events;
        this.doneCallback = doneCallback;
    }

    void start(Optional<Peer> open) {
        perform(() -> {
            started = true;
            link = link == null ? open.orElse(null) : link;
            return link == null ? tracker.onNoLink(clock.nanos()) : tracker.start(clock.nanos());
        });
    }

    void onLinkOpened(Peer peer) {
        perform(() -> {
            if (link == peer) {
                return List.of();
            }
            link = peer;
            return started ? tracker.onLinkOpened(peer.hello().getIncarnation(), clock.nanos()) : List.of();
        });
    }

    void onLinkClosed(Peer peer, Optional<Peer> other) {
        boolean current;
        synchronized (this) {
            current = link == peer;
            if (current && started) {
                tracker.onLinkLost(clock.nanos());
            }
        }
        if (current) {
            other.ifPresent(this::onLinkOpened);
        }
    }

    void onAccepted() {
        perform(tracker::onAccepted);
    }

    void onChunk(Chunk chunk) {
        perform(() -> tracker.onChunk(chunk, clock.nanos()));
    }

    void onEnded(End end) {
        perform(() -> tracker.onEnded(end, clock.nanos()));
    }

    void onRefused(Refused refused) {
        perform(() -> tracker.onRefused(refused, clock.nanos()));
    }

    void tick() {
        perform(() -> tracker.tick(clock.nanos()));
    }

    @Override
    public void request(int chunks) {
        if (chunks < 1) {
            throw new IllegalArgumentException("chunks below 1: " + chunks);
        }
        perform(() -> tracker.request(chunks));
    }

    @Override
    public void cancel(String reason) {
        perform(() -> tracker.cancel(reason, clock.nanos()));
    }

    private void perform(Supplier<List<AttemptAction>> decision) {
        boolean done;
        synchronized (this) {
            decision.get().forEach(this::execute);
            done = tracker.isDone();
        }
        if (done) {
            doneCallback.run();
        }
        notifyListener();
    }

    private void execute(AttemptAction action) {
        if (!(action instanceof AttemptAction.Send send)) {
            pendingNotifications.add(action);
            return;
        }
        if (link.send(send.frame())) {
            return;
        }
        if (send.frame().hasRun()) {
            pendingNotifications.addAll(tracker.onNeverSent("the link to the companion does not take the request"));
        } else {
            tracker.onLinkLost(clock.nanos());
        }
    }

    private void notifyListener() {
        for (Optional<AttemptAction> next = pollNotification(false); next.isPresent(); next = pollNotification(true)) {
            try {
                notifyListener(next.get());
            } catch (RuntimeException failure) {
                events.onEvent(EventCode.UNEXPECTED_FAILURE, "attempt listener failed: " + failure);
            }
        }
    }

    private synchronized Optional<AttemptAction> pollNotification(boolean isNotifier) {
        if (notifying && !isNotifier) {
            return Optional.empty();
        }
        Optional<AttemptAction> next = Optional.ofNullable(pendingNotifications.poll());
        notifying = next.isPresent();
        return next;
    }

    private void notifyListener(AttemptAction action) {
        if (action instanceof AttemptAction.NotifyChunk chunk) {
            listener.onChunk(chunk.sequence(), chunk.payload(), chunk.tokens());
        } else if (action instanceof AttemptAction.NotifyAccepted) {
            listener.onAccepted();
        } else if (action instanceof AttemptAction.NotifyEnded ended) {
            listener.onEnded(ended.end());
        } else if (action instanceof AttemptAction.NotifyRefused refused) {
            listener.onRefused(refused.refused());
        } else if (action instanceof AttemptAction.NotifyLost lost) {
            listener.onLost(lost.executionStatus(), lost.reason());
        }
    }
}
