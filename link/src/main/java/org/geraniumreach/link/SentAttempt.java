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
 * One attempt under way: its decisions, the link that it uses, and the telling of its listener.
 *
 * <p>Invariants: decisions and sending happen under this object's lock, so frames leave in the order decided; the listener
 * is told outside of it and by one thread at a time, so a listener may take locks of its own and call back. Safe for use by
 * several threads.
 */
final class SentAttempt implements AttemptHandle {

    private final AttemptTracker tracker;
    private final AttemptListener listener;
    private final MonotonicClock clock;
    private final LinkEventListener events;
    private final Runnable whenDone;
    private final Queue<AttemptAction> news = new ArrayDeque<>();
    private Peer link;
    private boolean started;
    private boolean telling;

    SentAttempt(
            AttemptTracker tracker,
            AttemptListener listener,
            MonotonicClock clock,
            LinkEventListener events,
            Runnable whenDone) {
        this.tracker = tracker;
        this.listener = listener;
        this.clock = clock;
        this.events = events;
        this.whenDone = whenDone;
    }

    void start(Optional<Peer> open) {
        perform(() -> {
            started = true;
            link = link == null ? open.orElse(null) : link;
            return link == null ? tracker.noLink(clock.nanos()) : tracker.start(clock.nanos());
        });
    }

    void opened(Peer peer) {
        perform(() -> {
            if (link == peer) {
                return List.of();
            }
            link = peer;
            return started ? tracker.linkOpened(peer.hello().getIncarnation(), clock.nanos()) : List.of();
        });
    }

    void closed(Peer peer, Optional<Peer> other) {
        boolean mine;
        synchronized (this) {
            mine = link == peer;
            if (mine && started) {
                tracker.linkLost(clock.nanos());
            }
        }
        if (mine) {
            other.ifPresent(this::opened);
        }
    }

    void accepted() {
        perform(tracker::accepted);
    }

    void chunk(Chunk chunk) {
        perform(() -> tracker.chunk(chunk, clock.nanos()));
    }

    void ended(End end) {
        perform(() -> tracker.ended(end, clock.nanos()));
    }

    void refused(Refused refused) {
        perform(() -> tracker.refused(refused, clock.nanos()));
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
            decision.get().forEach(this::carryOut);
            done = tracker.isDone();
        }
        if (done) {
            whenDone.run();
        }
        tell();
    }

    private void carryOut(AttemptAction action) {
        if (!(action instanceof AttemptAction.Send send)) {
            news.add(action);
            return;
        }
        if (link.send(send.frame())) {
            return;
        }
        if (send.frame().hasRun()) {
            news.addAll(tracker.neverSent("the link to the companion does not take the request"));
        } else {
            tracker.linkLost(clock.nanos());
        }
    }

    private void tell() {
        for (Optional<AttemptAction> next = takeNext(false); next.isPresent(); next = takeNext(true)) {
            try {
                tell(next.get());
            } catch (RuntimeException failure) {
                events.happened(EventCode.UNEXPECTED_FAILURE, "a listener of an attempt: " + failure);
            }
        }
    }

    private synchronized Optional<AttemptAction> takeNext(boolean mine) {
        if (telling && !mine) {
            return Optional.empty();
        }
        Optional<AttemptAction> next = Optional.ofNullable(news.poll());
        telling = next.isPresent();
        return next;
    }

    private void tell(AttemptAction action) {
        if (action instanceof AttemptAction.TellChunk chunk) {
            listener.chunk(chunk.sequence(), chunk.payload(), chunk.tokens());
        } else if (action instanceof AttemptAction.TellAccepted) {
            listener.accepted();
        } else if (action instanceof AttemptAction.TellEnded ended) {
            listener.ended(ended.end());
        } else if (action instanceof AttemptAction.TellRefused refused) {
            listener.refused(refused.refused());
        } else if (action instanceof AttemptAction.TellLost lost) {
            listener.lost(lost.ran(), lost.reason());
        }
    }
}
