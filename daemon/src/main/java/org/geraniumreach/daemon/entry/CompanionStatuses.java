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
 * Keeps the latest complete status of each linked companion's target.
 *
 * <p>A companion sends its full set of resident adapters when a link opens, and only changes afterwards. The first
 * status may arrive before membership and records make the target known; if it were dropped, the entry would not know
 * the resident adapters as long as the link stays open. Invariant: a kept status contains all resident adapters. Safe
 * for use by several threads.
 */
final class CompanionStatuses {

    private final Map<InstanceId, LinkStatus> statuses = new ConcurrentHashMap<>();

    /**
     * A status and the link that it arrived on. An older link to the same instance may close after a newer one has
     * opened.
     */
    private record LinkStatus(Object link, TargetStatus status) {}

    /**
     * Updates the status of a companion.
     *
     * @param instance the companion, not null
     * @param link the link that the status arrived on, not null
     * @param status the status, complete or with changes only, not null
     */
    void update(InstanceId instance, Object link, TargetStatus status) {
        statuses.merge(instance, new LinkStatus(link, status), CompanionStatuses::merge);
    }

    private static LinkStatus merge(LinkStatus previous, LinkStatus latest) {
        boolean fromNewLink = previous.link() != latest.link();
        return fromNewLink ? latest : new LinkStatus(latest.link(), merge(previous.status(), latest.status()));
    }

    private static TargetStatus merge(TargetStatus previous, TargetStatus status) {
        if (status.complete()) {
            return status;
        }
        Set<AdapterReference> resident = new HashSet<>(previous.resident());
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
     * Removes the status of a companion whose link has closed; a new link starts with a complete status.
     *
     * @param instance the companion, not null
     * @param link the link that closed, not null
     */
    void remove(InstanceId instance, Object link) {
        statuses.computeIfPresent(instance, (companion, last) -> last.link() == link ? null : last);
    }
}
