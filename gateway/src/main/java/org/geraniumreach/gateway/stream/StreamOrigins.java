package org.geraniumreach.gateway.stream;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;

import org.geraniumreach.model.MonotonicClock;

/**
 * The origins of streams that this entry knows.
 *
 * <p>Invariants: a record is kept until its caller cannot come back any more. If there are too many, the oldest ones are
 * forgotten; their callers are refused then, never sent to another version. Confined to the event loop.
 */
final class StreamOrigins {

    /** Several times the streams of two minutes of an entry that begins 11 a second and keeps those of two others. */
    static final int MAXIMUM_RECORDS = 16_384;

    private final MonotonicClock clock;
    private final Map<StreamKey, Entry> entries = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<StreamKey, Entry> eldest) {
            return size() > MAXIMUM_RECORDS;
        }
    };

    /** A recorded origin; replicated if other entries have been told or need not know. */
    private record Entry(StreamOrigin origin, long sentAt, long expiresAt, boolean replicated) {}

    StreamOrigins(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Adds or replaces a record. */
    void put(StreamRecord record, boolean replicated) {
        long now = clock.nanos();
        entries.remove(record.key());
        entries.put(
                record.key(),
                new Entry(
                        record.origin(),
                        now - record.age().toNanos(),
                        now + record.remaining().toNanos(),
                        replicated));
    }

    Optional<StreamRecord> find(StreamKey key) {
        return Optional.ofNullable(entries.get(key))
                .filter(entry -> entry.expiresAt() - clock.nanos() > 0)
                .map(entry -> toRecord(key, entry));
    }

    private StreamRecord toRecord(StreamKey key, Entry entry) {
        long now = clock.nanos();
        return new StreamRecord(
                key,
                entry.origin(),
                Duration.ofNanos(now - entry.sentAt()),
                Duration.ofNanos(Math.max(0, entry.expiresAt() - now)));
    }

    /** Marks the records of a service that have not been replicated as replicated, and returns them. */
    List<StreamRecord> takeUnreplicated(String service) {
        List<StreamRecord> taken = new ArrayList<>();
        entries.replaceAll((key, entry) -> {
            if (entry.replicated() || !entry.origin().service().equals(service)) {
                return entry;
            }
            taken.add(toRecord(key, entry));
            return new Entry(entry.origin(), entry.sentAt(), entry.expiresAt(), true);
        });
        return taken;
    }

    /** Returns the replicated records that match a condition on the key. */
    List<StreamRecord> replicated(Predicate<StreamKey> condition) {
        List<StreamRecord> records = new ArrayList<>();
        entries.forEach((key, entry) -> {
            if (entry.replicated() && condition.test(key)) {
                records.add(toRecord(key, entry));
            }
        });
        return records;
    }

    /** Removes records that match a condition. */
    void removeIf(Predicate<StreamRecord> condition) {
        entries.entrySet().removeIf(entry -> condition.test(toRecord(entry.getKey(), entry.getValue())));
    }

    /** Removes the records whose callers cannot come back any more. */
    void expire() {
        long now = clock.nanos();
        entries.values().removeIf(entry -> entry.expiresAt() - now <= 0);
    }

    int size() {
        return entries.size();
    }
}
