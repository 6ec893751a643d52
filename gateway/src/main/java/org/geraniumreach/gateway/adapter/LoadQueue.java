package org.geraniumreach.gateway.adapter;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

import org.geraniumreach.gateway.traffic.AdapterName;

/**
 * The adapters that are to be loaded at one target, in the order in which they should be.
 *
 * <p>The load it answers: more adapters are asked for in a second than the weight store serves. In the order of their coming, each would
 * wait as long as the queue has grown, and all requests would miss their objectives. So adapters whose requests can still be in
 * time go first, the one with the least time left before the others; then those whose requests are late, as they came; last
 * those that no request waits for, which would only relieve another target.
 *
 * <p>Invariant: a wish that is not renewed for {@link #LIFETIME} lapses. Confined to the event loop.
 */
final class LoadQueue {

    /** Who still waits asks again each 300 ms; a load for somebody who has gone elsewhere takes a place for nothing. */
    static final Duration LIFETIME = Duration.ofMillis(500);

    private final Map<AdapterName, Wish> wishes = new HashMap<>();
    private long numbers;

    private record Wish(long number, long renewedAt, OptionalLong lateAt) {

        boolean isWaitedFor() {
            return lateAt.isPresent();
        }

        boolean isInTime(long loaded) {
            return isWaitedFor() && lateAt.getAsLong() >= loaded;
        }
    }

    /**
     * Asks for an adapter, or renews the wish for it.
     *
     * @param adapter the adapter
     * @param lateAt when the request that waits for it misses its objective, empty if none waits
     * @param now the time
     */
    void want(AdapterName adapter, OptionalLong lateAt, long now) {
        Wish before = wishes.get(adapter);
        if (before == null) {
            wishes.put(adapter, new Wish(numbers++, now, lateAt));
            return;
        }
        wishes.put(adapter, new Wish(before.number(), now, moreUrgent(before.lateAt(), lateAt, now)));
    }

    /** Of several requests the next to be late counts, among those that are not late yet. */
    private static OptionalLong moreUrgent(OptionalLong one, OptionalLong other, long now) {
        if (one.isEmpty() || other.isEmpty()) {
            return one.isPresent() ? one : other;
        }
        long sooner = Math.min(one.getAsLong(), other.getAsLong());
        return OptionalLong.of(sooner >= now ? sooner : Math.max(one.getAsLong(), other.getAsLong()));
    }

    /**
     * Gets what is wanted.
     *
     * @param now the time
     * @param load how long a load takes
     * @return the adapters, the next to be loaded first
     */
    List<AdapterName> inOrder(long now, Duration load) {
        wishes.values().removeIf(wish -> now - wish.renewedAt() > LIFETIME.toNanos());
        long loaded = now + load.toNanos();
        Comparator<Wish> order = Comparator.comparing((Wish wish) -> !wish.isInTime(loaded))
                .thenComparing(wish -> !wish.isWaitedFor())
                .thenComparingLong(wish -> wish.isInTime(loaded) ? wish.lateAt().getAsLong() : wish.number());
        List<AdapterName> adapters = new ArrayList<>(wishes.keySet());
        adapters.sort(Comparator.comparing(wishes::get, order));
        return adapters;
    }

    void remove(AdapterName adapter) {
        wishes.remove(adapter);
    }

    boolean contains(AdapterName adapter) {
        return wishes.containsKey(adapter);
    }

    boolean areAllIn(Set<AdapterName> adapters) {
        return adapters.containsAll(wishes.keySet());
    }

    boolean isEmpty() {
        return wishes.isEmpty();
    }
}
