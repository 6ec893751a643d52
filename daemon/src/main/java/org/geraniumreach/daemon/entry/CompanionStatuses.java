package org.geraniumreach.daemon.entry;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.serving.routing.TargetStatus;

/**
 * The last word of each linked companion on its target, made whole.
 *
 * <p>A companion tells all that is resident when a link opens, and changes from then on. Its first word may come before
 * membership and records let the entry know its target; if it were dropped, the entry would not know what the target holds
 * for as long as the link lives. Invariant: what is kept holds all that is resident. Safe for use by several threads.
 */
final class CompanionStatuses {

    private final Map<InstanceId, LinkStatus> statuses = new ConcurrentHashMap<>();

    /** A status, and the link that brought it: of two links with one instance, the older may close after the newer opens. */
    private record LinkStatus(Object link, TargetStatus status) {}

    /**
     * Takes a status in.
     *
     * @param instance the companion, not null
     * @param link the link that brought it, not null
     * @param status its status, whole or changes, not null
     */
    void update(InstanceId instance, Object link, TargetStatus status) {
        statuses.merge(instance, new LinkStatus(link, status), CompanionStatuses::merge);
    }

    private static LinkStatus merge(LinkStatus before, LinkStatus after) {
        boolean fromOtherLink = before.link() != after.link();
        return fromOtherLink ? after : new LinkStatus(after.link(), merge(before.status(), after.status()));
    }

    private static TargetStatus merge(TargetStatus before, TargetStatus status) {
        if (status.complete()) {
            return status;
        }
        Set<AdapterReference> resident = new HashSet<>(before.resident());
        resident.removeAll(status.removed());
        resident.addAll(status.resident());
        return new TargetStatus(
                status.target(),
                status.sequence(),
                status.engineIncarnation(),
                status.running(),
                status.queued(),
                status.queuedTokens(),
                status.concurrencyLimit(),
                status.slots(),
                true,
                resident,
                Set.of(),
                status.loading(),
                status.draining(),
                status.tokensPerSecond());
    }

    Optional<TargetStatus> find(InstanceId instance) {
        return Optional.ofNullable(statuses.get(instance)).map(LinkStatus::status);
    }

    /**
     * Drops a companion's words, when its link closes; a new link begins with a whole one.
     *
     * @param instance the companion, not null
     * @param link the link that closed, not null
     */
    void remove(InstanceId instance, Object link) {
        statuses.computeIfPresent(instance, (companion, word) -> word.link() == link ? null : word);
    }
}
