package org.geraniumreach.gateway.stream;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.geraniumreach.serving.routing.Rendezvous;

/**
 * Ranks entries for a stream by rendezvous hashing, so that entries that know the same others choose the same ones.
 *
 * <p>Confined to the event loop.
 */
final class EntryRanking {

    private final Map<String, Integer> hashes = new HashMap<>();

    /** Returns the entries that rank first. */
    List<String> first(StreamKey key, Collection<String> entries, int count) {
        int keyHash = Rendezvous.hash(key.attempt());
        Map<String, Integer> scores =
                entries.stream().collect(Collectors.toMap(entry -> entry, entry -> score(keyHash, entry)));
        return scores.entrySet().stream()
                .sorted(Map.Entry.<String, Integer>comparingByValue(Comparator.reverseOrder())
                        .thenComparing(Map.Entry.comparingByKey()))
                .limit(count)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Queries whether an entry is one of those that rank first. */
    boolean isAmongFirst(StreamKey key, String entry, Collection<String> entries, int count) {
        int keyHash = Rendezvous.hash(key.attempt());
        int own = score(keyHash, entry);
        return entries.stream()
                        .filter(other -> score(keyHash, other) > own)
                        .limit(count)
                        .count()
                < count;
    }

    private int score(int keyHash, String entry) {
        return Rendezvous.score(keyHash, hashes.computeIfAbsent(entry, Rendezvous::hash));
    }
}
