package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;

import org.geraniumreach.model.TargetId;

/**
 * One request's wait for the load of its adapter: since when, and at which targets.
 *
 * <p>Invariant: the wait begins anew with each sending, so that a stream that has lost its target after seconds may wait as long as a
 * new one. Confined to the event loop.
 */
final class LoadWait {

    /** Targets that may decline; beyond them, waiting at one is better than asking on. */
    private static final int MOST_DECLINING = 2;

    private final Duration longest;
    private final Duration slowLoad;
    private final Map<TargetId, Long> askedAt = new HashMap<>();
    private final Set<TargetId> declined = new HashSet<>();
    private OptionalLong since = OptionalLong.empty();

    LoadWait(Duration longest, Duration slowLoad) {
        this.longest = longest;
        this.slowLoad = slowLoad;
    }

    /** Begins the wait, if it has not begun; false if it has lasted too long. */
    boolean goesOn(long now) {
        if (since.isEmpty()) {
            since = OptionalLong.of(now);
        }
        return now - since.getAsLong() < longest.toNanos();
    }

    void asked(TargetId target, long now) {
        askedAt.putIfAbsent(target, now);
    }

    /** Notes which of the targets that were asked have declined. */
    void noteDeclined(Predicate<TargetId> hasDeclined) {
        askedAt.keySet().stream().filter(hasDeclined).forEach(declined::add);
    }

    boolean mayBeDeclined() {
        return declined.size() < MOST_DECLINING;
    }

    void sent() {
        since = OptionalLong.empty();
    }

    /** Gets the targets that were asked and may still be in time with the load. */
    Set<TargetId> loaders(long now) {
        return asked(now, false);
    }

    /** Gets those that have declined, or whose owner may be unable to order; another target may load meanwhile. */
    Set<TargetId> slowLoaders(long now) {
        return asked(now, true);
    }

    private Set<TargetId> asked(long now, boolean slow) {
        Set<TargetId> targets = new HashSet<>();
        askedAt.forEach((target, at) -> {
            boolean isSlow = declined.contains(target) || now - at >= slowLoad.toNanos();
            if (isSlow == slow) {
                targets.add(target);
            }
        });
        return targets;
    }
}
