package org.geraniumreach.coordination.configuration;

import java.util.List;
import java.util.Optional;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.geraniumreach.coordination.configuration.ConfigurationRows.SnapshotPointer;
import org.geraniumreach.model.record.LogEntry;
import org.geraniumreach.model.record.RecordException;
import org.geraniumreach.model.record.RecordKey;
import org.geraniumreach.model.record.RecordKind;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigurationRowsTest {

    private static final LogEntry ENTRY = new LogEntry(
            7, "operation", RecordKey.of(RecordKind.ACCOUNT, "acme"), Optional.of("{\"text\":\"\u00e9\\n\"}"));
    private static final String FRAGMENTS = "{}[]\",:-1e9null\"kind\":\"x\",\"revision\":99999999999999999999\0";

    @Test
    void writtenRowsReadBackEqual() throws RecordException {
        LogEntry withdrawal = new LogEntry(8, "other", ENTRY.key(), Optional.empty());
        assertThat(ConfigurationRows.readEntry(ConfigurationRows.writeEntry(withdrawal)))
                .isEqualTo(withdrawal);
        assertThat(ConfigurationRows.readPart(ConfigurationRows.writePart(List.of(ENTRY))))
                .containsExactly(ENTRY);
        SnapshotPointer pointer = new SnapshotPointer(9, 2);
        assertThat(ConfigurationRows.readPointer(ConfigurationRows.writePointer(pointer)))
                .isEqualTo(pointer);
    }

    /*
     * Failure: one malformed row of the table stops every instance that reads it. Any row content must be parsed or refused
     * with the checked exception.
     */
    @Property(tries = 10_000, seed = "8")
    void malformedRowsThrowOnlyRecordException(@ForAll long seed) {
        Random random = new Random(seed);
        StringBuilder text = new StringBuilder(ConfigurationRows.writePart(List.of(ENTRY)));
        for (int change = 0; change < 1 + random.nextInt(4); change++) {
            int from = random.nextInt(FRAGMENTS.length());
            String fragment = FRAGMENTS.substring(from, Math.min(FRAGMENTS.length(), from + random.nextInt(10)));
            int at = random.nextInt(text.length() + 1);
            text.replace(at, Math.min(text.length(), at + random.nextInt(8)), fragment);
        }
        String row = random.nextBoolean() ? text.toString() : text.substring(1, Math.max(1, text.length() - 1));
        readOrRefuse(() -> ConfigurationRows.readPart(row));
        readOrRefuse(() -> ConfigurationRows.readEntry(row));
        readOrRefuse(() -> ConfigurationRows.readRevision(row));
        readOrRefuse(() -> ConfigurationRows.readPointer(row));
    }

    private interface RowReader {
        Object read() throws RecordException;
    }

    private static void readOrRefuse(RowReader reader) {
        try {
            assertThat(reader.read()).isNotNull();
        } catch (RecordException refused) {
            assertThat(refused.getMessage()).isNotBlank();
        }
    }
}
