package org.geraniumreach.node;

import java.time.Duration;
import java.util.Base64;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

import com.google.protobuf.InvalidProtocolBufferException;
import org.geraniumreach.gateway.crash.CrashGuard;
import org.geraniumreach.gateway.crash.SuspectKey;
import org.geraniumreach.gateway.crash.SuspectUpdate;
import org.geraniumreach.messages.SuspectUpdates;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;

/**
 * The stored rows that tell what is refused to entries to which no link is open.
 *
 * <p>Invariants: an entry writes at most one row, and only while a link is missing and no other entry's row tells the same. A row that its entry has
 * left behind ends with the refusals in it, whose age it gives. Confined to the event loop.
 */
final class SuspectRows {

    private static final String PREFIX = "suspects/";

    /** Keeps a row far below the size that the store accepts. */
    private static final int MAXIMUM_SUSPECTS = 16;

    private static final char SEPARATOR = ' ';

    /** Longer than any refusal lasts. */
    private static final Duration MAXIMUM_AGE = Duration.ofDays(1);

    private final CrashGuard guard;
    private final SuspectMessages messages;
    private final LongSupplier wallClockMillis;
    private final Map<String, Set<SuspectKey>> known = new HashMap<>();

    /**
     * Creates an instance.
     *
     * @param guard knows what is refused, not null
     * @param messages converts it, not null
     * @param wallClockMillis the time of day, from which the ages of rows are computed, not null
     */
    SuspectRows(CrashGuard guard, SuspectMessages messages, LongSupplier wallClockMillis) {
        this.guard = Objects.requireNonNull(guard, "guard");
        this.messages = Objects.requireNonNull(messages, "messages");
        this.wallClockMillis = Objects.requireNonNull(wallClockMillis, "wallClockMillis");
    }

    static boolean isSuspectRow(String key) {
        return key.startsWith(PREFIX);
    }

    /** Applies a row of any entry. */
    void applyRow(String key, Optional<Row> row) {
        List<SuspectUpdate> updates = row.map(present -> parse(present.value())).orElseGet(List::of);
        if (updates.isEmpty()) {
            known.remove(key);
        } else {
            known.put(key, keys(updates));
        }
        guard.onUpdates(updates);
    }

    private static Set<SuspectKey> keys(Collection<SuspectUpdate> updates) {
        return updates.stream().map(SuspectUpdate::key).collect(Collectors.toSet());
    }

    /**
     * Proposes a change of this entry's row.
     *
     * @param table the entries' table
     * @param self this entry
     * @param linkMissing whether an entry cannot be told over a link
     * @return the transaction, or empty if nothing is to be changed now
     */
    Optional<Transaction> proposeTransaction(String table, String self, boolean linkMissing) {
        RowKey row = RowKey.of(table, PREFIX + self);
        List<SuspectUpdate> refused =
                guard.refused().stream().limit(MAXIMUM_SUSPECTS).toList();
        if (refused.isEmpty()) {
            return known.containsKey(row.key())
                    ? Optional.of(Transaction.empty().withDelete(row))
                    : Optional.empty();
        }
        Set<SuspectKey> told = new HashSet<>();
        known.values().forEach(told::addAll);
        return linkMissing && !told.containsAll(keys(refused))
                ? Optional.of(Transaction.empty().withWrite(row, toText(refused)))
                : Optional.empty();
    }

    private String toText(List<SuspectUpdate> updates) {
        byte[] bytes = messages.toMessage(updates).toByteArray();
        return Long.toString(wallClockMillis.getAsLong())
                + SEPARATOR
                + Base64.getEncoder().encodeToString(bytes);
    }

    /** Parses a row; empty if the text is malformed. */
    private List<SuspectUpdate> parse(String text) {
        int separator = text.indexOf(SEPARATOR);
        try {
            long writtenAt = Long.parseLong(text.substring(0, Math.max(0, separator)));
            SuspectUpdates message =
                    SuspectUpdates.parseFrom(Base64.getDecoder().decode(text.substring(separator + 1)));
            Duration age = Duration.ofMillis(
                    Math.max(0, Math.min(wallClockMillis.getAsLong() - writtenAt, MAXIMUM_AGE.toMillis())));
            return messages.fromMessage(message, age);
        } catch (IllegalArgumentException | InvalidProtocolBufferException malformed) {
            return List.of();
        }
    }
}
