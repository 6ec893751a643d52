package org.geraniumreach.node;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.stream.IntStream;

import org.geraniumreach.gateway.crash.CrashGuard;
import org.geraniumreach.gateway.crash.SuspectUpdate;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.SuspectUpdates;

/**
 * Exchanges with the other entries under which requests targets have ended.
 *
 * <p>Confined to the event loop.
 */
final class SuspectLinks {

    /** Keeps frames far below the longest one that links accept. */
    private static final int MAXIMUM_UPDATES_PER_FRAME = 500;

    private final CrashGuard guard;
    private final EntryLinks links;
    private final SuspectMessages messages;

    private SuspectLinks(CrashGuard guard, EntryLinks links, SuspectMessages messages) {
        this.guard = Objects.requireNonNull(guard, "guard");
        this.links = Objects.requireNonNull(links, "links");
        this.messages = Objects.requireNonNull(messages, "messages");
    }

    /** Connects the guard of this entry to the other entries. */
    static void connect(CrashGuard guard, EntryLinks links, SuspectMessages messages) {
        SuspectLinks suspectLinks = new SuspectLinks(guard, links, messages);
        guard.setPeers(updates -> suspectLinks.toFrames(updates).forEach(links::sendSuspectsToAll));
        links.onSuspects(new EntryLinks.SuspectHandler(suspectLinks::sendAll, suspectLinks::onUpdates));
    }

    /** Sends all that is known to an entry, which may have missed it. */
    private void sendAll(String entry) {
        toFrames(guard.known()).forEach(frame -> links.sendSuspects(entry, frame));
    }

    private void onUpdates(SuspectUpdates message) {
        guard.onUpdates(messages.fromMessage(message, Duration.ZERO));
    }

    private List<Frame> toFrames(List<SuspectUpdate> updates) {
        return IntStream.iterate(0, from -> from < updates.size(), from -> from + MAXIMUM_UPDATES_PER_FRAME)
                .mapToObj(from -> updates.subList(from, Math.min(updates.size(), from + MAXIMUM_UPDATES_PER_FRAME)))
                .map(part -> Frame.newBuilder()
                        .setSuspectUpdates(messages.toMessage(part))
                        .build())
                .toList();
    }
}
