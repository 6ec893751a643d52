package org.geraniumreach.daemon.configuration;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServingException;
import org.geraniumreach.model.record.LogEntry;
import org.geraniumreach.model.record.RecordException;
import org.geraniumreach.model.record.RecordKey;
import org.geraniumreach.ports.PlatformException;
import org.geraniumreach.ports.TableService;

/**
 * Reads the change log as far back as the table holds it.
 *
 * <p>Safe for use by several threads; calls block.
 */
public final class ChangeHistory {

    private final ConfigurationReader reader;

    /**
     * Creates a reader of the change log.
     *
     * @param table the platform's table, not null
     * @param clock the clock, not null
     */
    public ChangeHistory(TableService table, MonotonicClock clock) {
        this.reader = new ConfigurationReader(Objects.requireNonNull(table, "table"), clock);
    }

    /**
     * Reads the changes.
     *
     * @param key the record whose changes are read, or empty for those of all records, not null
     * @return the changes, oldest first, not null
     * @throws ServingException if the table does not answer or a row is malformed
     */
    public List<LogEntry> read(Optional<RecordKey> key) throws ServingException {
        try {
            return reader.readLog(0).stream()
                    .filter(entry -> key.isEmpty() || entry.key().equals(key.get()))
                    .toList();
        } catch (PlatformException failure) {
            throw ServingException.notRun(ResultCode.STORE_UNAVAILABLE, "the table service does not answer")
                    .withCause(failure);
        } catch (RecordException malformed) {
            throw ServingException.notRun(ResultCode.INTERNAL_ERROR, "a row of the log is malformed")
                    .withCause(malformed);
        }
    }
}
