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
 * Tracks the running calls by the API key that authenticated them.
 *
 * <p>When a key is withdrawn, the calls that it authenticated are cancelled; otherwise their streams would continue to
 * the end. Invariant: a call is registered from its start to its end. Safe for use by several threads; updates are
 * atomic per key.
 */
final class ActiveCalls {

    private final Map<KeyDigest, Map<Object, Runnable>> calls = new ConcurrentHashMap<>();

    void add(KeyDigest key, Runnable cancel, Object call) {
        calls.compute(key, (digest, running) -> {
            Map<Object, Runnable> callsOfKey = running == null ? new ConcurrentHashMap<>() : running;
            callsOfKey.put(call, cancel);
            return callsOfKey;
        });
    }

    void remove(KeyDigest key, Object call) {
        calls.computeIfPresent(key, (digest, running) -> {
            running.remove(call);
            return running.isEmpty() ? null : running;
        });
    }

    /**
     * Cancels the running calls of withdrawn keys.
     *
     * @param keys the withdrawn keys, not null
     */
    void cancel(Set<KeyDigest> keys) {
        for (KeyDigest key : keys) {
            List<Runnable> running =
                    new ArrayList<>(calls.getOrDefault(key, Map.of()).values());
            if (!running.isEmpty()) {
                EventLog.write(EventCode.STREAMS_CANCELLED, "{} requests of a withdrawn key cancelled", running.size());
            }
            running.forEach(Runnable::run);
        }
    }

    int size() {
        return calls.values().stream().mapToInt(Map::size).sum();
    }
}
