package org.geraniumreach.daemon.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.geraniumreach.daemon.event.EventLog;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.KeyDigest;

/**
 * The calls that are running, by the key that came with them.
 *
 * <p>A key is withdrawn while its callers are still connected; without this their streams would go on to their end.
 * Invariant: a call is held from its start to its end. Safe for use by several threads; each key is a shard of the map.
 */
final class ActiveCalls {

    private final Map<KeyDigest, Map<Object, Runnable>> calls = new ConcurrentHashMap<>();

    void add(KeyDigest key, Runnable cancel, Object call) {
        calls.compute(key, (digest, running) -> {
            Map<Object, Runnable> held = running == null ? new ConcurrentHashMap<>() : running;
            held.put(call, cancel);
            return held;
        });
    }

    void remove(KeyDigest key, Object call) {
        calls.computeIfPresent(key, (digest, running) -> {
            running.remove(call);
            return running.isEmpty() ? null : running;
        });
    }

    /**
     * Cancels the calls of keys that are good no more.
     *
     * @param keys the keys, not null
     */
    void cancel(Set<KeyDigest> keys) {
        for (KeyDigest key : keys) {
            List<Runnable> running =
                    new ArrayList<>(calls.getOrDefault(key, Map.of()).values());
            if (!running.isEmpty()) {
                EventLog.write(EventCode.STREAMS_CANCELLED, "{} requests", running.size());
            }
            running.forEach(Runnable::run);
        }
    }

    int size() {
        return calls.values().stream().mapToInt(Map::size).sum();
    }
}
