package org.geraniumreach.standins.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.geraniumreach.model.AdapterReference;

/**
 * The prompt prefixes that an engine holds, in blocks of tokens; the block used longest ago goes first.
 *
 * <p>Invariant: holds at most its capacity. Used under the engine's lock.
 */
final class PrefixCache {

    static final int BLOCK_TOKENS = 16;

    private static final int BLOCK_CHARACTERS = BLOCK_TOKENS * 4;

    private final int capacityBlocks;
    private final Consumer<CacheEvent> events;
    private final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

    PrefixCache(int capacityTokens, Consumer<CacheEvent> events) {
        this.capacityBlocks = capacityTokens / BLOCK_TOKENS;
        this.events = events;
    }

    /**
     * Uses a prompt: counts what is cached of it, and caches all of it.
     *
     * @param adapter the adapter, whose cache is its own
     * @param prompt the prompt
     * @return the tokens of the prefix that was cached
     */
    int lookUpAndStore(AdapterReference adapter, String prompt) {
        List<Long> digests = digests(adapter, prompt);
        int cached = 0;
        while (cached < digests.size() && blocks.containsKey(digests.get(cached))) {
            cached++;
        }
        digests.forEach(this::store);
        evict();
        return cached * BLOCK_TOKENS;
    }

    private void store(long digest) {
        if (blocks.put(digest, Boolean.TRUE) == null) {
            events.accept(new CacheEvent("stored", Long.toHexString(digest)));
        }
    }

    private void evict() {
        Iterator<Map.Entry<Long, Boolean>> oldest = blocks.entrySet().iterator();
        while (blocks.size() > capacityBlocks) {
            long digest = oldest.next().getKey();
            oldest.remove();
            events.accept(new CacheEvent("evicted", Long.toHexString(digest)));
        }
    }

    void clear() {
        blocks.clear();
    }

    private static List<Long> digests(AdapterReference adapter, String prompt) {
        List<Long> digests = new ArrayList<>();
        long digest = adapter.hashCode();
        for (int end = BLOCK_CHARACTERS; end <= prompt.length(); end += BLOCK_CHARACTERS) {
            for (int index = end - BLOCK_CHARACTERS; index < end; index++) {
                digest = digest * 1_000_003L + prompt.charAt(index);
            }
            digests.add(digest);
        }
        return digests;
    }

    /**
     * A change of the cache.
     *
     * @param kind stored or evicted
     * @param block the block's digest
     */
    record CacheEvent(String kind, String block) {}
}
