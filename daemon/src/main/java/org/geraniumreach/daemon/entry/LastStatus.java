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
final class LastStatus {

    private final Map<InstanceId, Word> words = new ConcurrentHashMap<>();

    /** A status, and the link that brought it: of two links with one instance, the older may close after the newer opens. */
    private record Word(Object link, TargetStatus status) {}

    /**
     * Takes a status in.
     *
     * @param instance the companion, not null
     * @param link the link that brought it, not null
     * @param status its status, whole or changes, not null
     */
    void note(InstanceId instance, Object link, TargetStatus status) {
        words.merge(instance, new Word(link, status), LastStatus::merge);
    }

    private static Word merge(Word before, Word after) {
        boolean fromOtherLink = before.link() != after.link();
        return fromOtherLink ? after : new Word(after.link(), merge(before.status(), after.status()));
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
        return Optional.ofNullable(words.get(instance)).map(Word::status);
    }

    /**
     * Drops a companion's words, when its link closes; a new link begins with a whole one.
     *
     * @param instance the companion, not null
     * @param link the link that closed, not null
     */
    void forget(InstanceId instance, Object link) {
        words.computeIfPresent(instance, (companion, word) -> word.link() == link ? null : word);
    }
}
