package org.geraniumreach.standins.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.geraniumreach.model.AdapterReference;

/**
 * A least recently used cache of prompt prefixes, in blocks of tokens.
 *
 * <p>Invariant: holds at most its capacity. Guarded by the engine's lock.
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
     * Looks up the cached prefix of a prompt, then caches all full blocks of the prompt.
     *
     * @param adapter the adapter; adapters do not share blocks
     * @param prompt the prompt
     * @return the number of tokens in the prefix that was already cached
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
     * A change of the cache contents.
     *
     * @param kind {@code stored} or {@code evicted}
     * @param block the block's digest
     */
    record CacheEvent(String kind, String block) {}
}
