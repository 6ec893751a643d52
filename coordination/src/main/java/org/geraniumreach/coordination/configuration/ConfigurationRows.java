package org.geraniumreach.coordination.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.geraniumreach.model.record.LogEntry;
import org.geraniumreach.model.record.RecordException;
import org.geraniumreach.model.record.RecordKey;
import org.geraniumreach.model.record.RecordKind;
import org.geraniumreach.model.table.RowKey;

/**
 * The keys and JSON format of the configuration rows in the platform's table.
 *
 * <p>Layout: {@code head} holds the last revision; {@code log/REVISION} holds one change; {@code record/KIND/NAME} holds the
 * last change of a record; {@code operation/ID} holds the revision that a submission created; {@code snapshot} points to the
 * newest snapshot; {@code part/REVISION/INDEX} holds a part of a snapshot. Revisions in keys are zero-padded, so that the
 * keys sort by revision. Stateless and safe for use by several threads.
 */
public final class ConfigurationRows {

    /** The table that holds the configuration. */
    public static final String TABLE = "configuration";

    /** The row that holds the last revision. */
    public static final RowKey HEAD = RowKey.of(TABLE, "head");

    /** The row that points to the newest snapshot. */
    public static final RowKey SNAPSHOT = RowKey.of(TABLE, "snapshot");

    /** The prefix of the keys of log rows. */
    public static final String LOG_PREFIX = "log/";

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String REVISION_FORMAT = "%016d";

    private ConfigurationRows() {}

    /**
     * Identifies a snapshot in the table.
     *
     * @param revision the revision of the snapshot
     * @param parts the number of parts
     */
    public record SnapshotPointer(long revision, int parts) {}

    /**
     * Returns the key of the log row of a change.
     *
     * @param revision the revision of the change
     * @return the key, not null
     */
    public static RowKey logKey(long revision) {
        return RowKey.of(TABLE, LOG_PREFIX + String.format(REVISION_FORMAT, revision));
    }

    /**
     * Returns the key of the row that holds the last change of a record. The row is kept after the record is withdrawn, so
     * that a submission based on an older revision cannot restore the record.
     *
     * @param record the record, not null
     * @return the key, not null
     */
    public static RowKey recordKey(RecordKey record) {
        return RowKey.of(TABLE, "record/" + record.kind().label() + "/" + record.name());
    }

    /**
     * Returns the key of the row that holds the outcome of a submission.
     *
     * @param operation the operation id of the submission, not null
     * @return the key, not null
     */
    public static RowKey operationKey(String operation) {
        return RowKey.of(TABLE, "operation/" + operation);
    }

    /**
     * Returns the key of a snapshot part.
     *
     * @param revision the revision of the snapshot
     * @param index the index of the part, from 0
     * @return the key, not null
     */
    public static RowKey partKey(long revision, int index) {
        return RowKey.of(TABLE, partPrefix(revision) + String.format("%06d", index));
    }

    /**
     * Returns the key prefix of the parts of a snapshot.
     *
     * @param revision the revision of the snapshot
     * @return the prefix, not null
     */
    public static String partPrefix(long revision) {
        return "part/" + String.format(REVISION_FORMAT, revision) + "/";
    }

    /**
     * Formats the value of a row that holds a revision, such as the head.
     *
     * @param revision the revision
     * @return the row value, not null
     */
    public static String writeRevision(long revision) {
        return MAPPER.createObjectNode().put("revision", revision).toString();
    }

    /**
     * Parses the value of a row that holds a revision.
     *
     * @param value the row value, not null
     * @return the revision
     * @throws RecordException if the value is malformed
     */
    public static long readRevision(String value) throws RecordException {
        return requireNonNegative(parse(value), "revision");
    }

    /**
     * Formats the value of the row that points to a snapshot.
     *
     * @param pointer the revision and number of parts, not null
     * @return the row value, not null
     */
    public static String writePointer(SnapshotPointer pointer) {
        return MAPPER.createObjectNode()
                .put("revision", pointer.revision())
                .put("parts", pointer.parts())
                .toString();
    }

    /**
     * Parses the value of the row that points to a snapshot.
     *
     * @param value the row value, not null
     * @return the revision and number of parts, not null
     * @throws RecordException if the value is malformed
     */
    public static SnapshotPointer readPointer(String value) throws RecordException {
        JsonNode node = parse(value);
        return new SnapshotPointer(requireNonNegative(node, "revision"), (int) requireNonNegative(node, "parts"));
    }

    /**
     * Formats a change as a row value.
     *
     * @param entry the change, not null
     * @return the row value, not null
     */
    public static String writeEntry(LogEntry entry) {
        return toJson(entry).toString();
    }

    /**
     * Parses a change.
     *
     * @param value the row value, not null
     * @return the change, not null
     * @throws RecordException if the value is malformed
     */
    public static LogEntry readEntry(String value) throws RecordException {
        return toEntry(parse(value));
    }

    /**
     * Formats a snapshot part as a row value.
     *
     * @param entries the records of the part, not null
     * @return the row value, not null
     */
    public static String writePart(List<LogEntry> entries) {
        ArrayNode array = MAPPER.createArrayNode();
        entries.forEach(entry -> array.add(toJson(entry)));
        return array.toString();
    }

    /**
     * Parses a snapshot part.
     *
     * @param value the row value, not null
     * @return the records of the part, not null
     * @throws RecordException if the value is malformed
     */
    public static List<LogEntry> readPart(String value) throws RecordException {
        JsonNode array = parse(value);
        if (!array.isArray()) {
            throw RecordException.invalid("", "a part of a snapshot is a list");
        }
        List<LogEntry> entries = new ArrayList<>();
        for (JsonNode node : array) {
            entries.add(toEntry(node));
        }
        return entries;
    }

    private static ObjectNode toJson(LogEntry entry) {
        ObjectNode node = MAPPER.createObjectNode()
                .put("revision", entry.revision())
                .put("operation", entry.operation())
                .put("kind", entry.key().kind().label())
                .put("name", entry.key().name());
        entry.body().ifPresent(body -> node.put("body", body));
        return node;
    }

    private static LogEntry toEntry(JsonNode node) throws RecordException {
        String label = requireText(node, "kind");
        RecordKind kind = RecordKind.ofLabel(label)
                .orElseThrow(() -> RecordException.invalid("kind", "unknown kind '" + label + "'"));
        Optional<String> body = node.has("body") ? Optional.of(requireText(node, "body")) : Optional.empty();
        try {
            RecordKey key = RecordKey.of(kind, requireText(node, "name"));
            return new LogEntry(requireNonNegative(node, "revision"), requireText(node, "operation"), key, body);
        } catch (IllegalArgumentException invalid) {
            throw RecordException.invalid("", invalid.getMessage());
        }
    }

    private static JsonNode parse(String value) throws RecordException {
        try {
            return MAPPER.readTree(value);
        } catch (JsonProcessingException malformed) {
            throw RecordException.invalid("", "not JSON: " + malformed.getOriginalMessage());
        }
    }

    private static long requireNonNegative(JsonNode node, String field) throws RecordException {
        JsonNode value = node.path(field);
        if (!value.isIntegralNumber() || !value.canConvertToLong() || value.longValue() < 0) {
            throw RecordException.invalid(field, "must be a whole number from 0");
        }
        return value.longValue();
    }

    private static String requireText(JsonNode node, String field) throws RecordException {
        JsonNode value = node.path(field);
        if (!value.isTextual()) {
            throw RecordException.invalid(field, "must be text");
        }
        return value.textValue();
    }
}
