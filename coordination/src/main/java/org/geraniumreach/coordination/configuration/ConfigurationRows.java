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
 * Where the configuration lies in the platform's table, and how its rows are written.
 *
 * <p>Layout: {@code head} holds the last revision; {@code log/REVISION} one change; {@code
 * record/KIND/NAME} a record's last change; {@code operation/ID} the revision that a
 * submission made; {@code snapshot} the newest snapshot's place; {@code part/REVISION/INDEX} a part of it. Revisions in keys
 * have a fixed number of digits, so keys are ordered as revisions are. Stateless and safe for use by several threads.
 */
public final class ConfigurationRows {

    /** The table that holds the configuration. */
    public static final String TABLE = "configuration";

    /** The row that holds the last revision. */
    public static final RowKey HEAD = RowKey.of(TABLE, "head");

    /** The row that holds the place of the newest snapshot. */
    public static final RowKey SNAPSHOT = RowKey.of(TABLE, "snapshot");

    /** What the keys of the log's rows start with. */
    public static final String LOG_PREFIX = "log/";

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String REVISION_FORMAT = "%016d";

    private ConfigurationRows() {}

    /**
     * The place of a snapshot.
     *
     * @param revision the revision that it stands at
     * @param parts the number of its parts
     */
    public record SnapshotPlace(long revision, int parts) {}

    /**
     * Obtains the key of a change's row.
     *
     * @param revision the change's revision
     * @return the key, not null
     */
    public static RowKey log(long revision) {
        return RowKey.of(TABLE, LOG_PREFIX + String.format(REVISION_FORMAT, revision));
    }

    /**
     * Obtains the key of the row that holds a record's last change, also after its withdrawal: a submission that is based
     * on the record as it was before must not bring it back.
     *
     * @param record the record, not null
     * @return the key, not null
     */
    public static RowKey recordKey(RecordKey record) {
        return RowKey.of(TABLE, "record/" + record.kind().label() + "/" + record.name());
    }

    /**
     * Obtains the key of the row that tells what a submission came to.
     *
     * @param operation the submission's operation id, not null
     * @return the key, not null
     */
    public static RowKey operationKey(String operation) {
        return RowKey.of(TABLE, "operation/" + operation);
    }

    /**
     * Obtains the key of a snapshot's part.
     *
     * @param revision the snapshot's revision
     * @param index the part's index, from 0
     * @return the key, not null
     */
    public static RowKey partKey(long revision, int index) {
        return RowKey.of(TABLE, partPrefix(revision) + String.format("%06d", index));
    }

    /**
     * Obtains what the keys of a snapshot's parts start with.
     *
     * @param revision the snapshot's revision
     * @return the prefix, not null
     */
    public static String partPrefix(long revision) {
        return "part/" + String.format(REVISION_FORMAT, revision) + "/";
    }

    /**
     * Writes a row that holds a revision, such as the head.
     *
     * @param revision the revision
     * @return the row's value, not null
     */
    public static String writeRevision(long revision) {
        return MAPPER.createObjectNode().put("revision", revision).toString();
    }

    /**
     * Reads a row that holds a revision.
     *
     * @param value the row's value, not null
     * @return the revision
     * @throws RecordException if the value is of another form
     */
    public static long readRevision(String value) throws RecordException {
        return requireNonNegative(parse(value), "revision");
    }

    /**
     * Writes a snapshot's place.
     *
     * @param place the place, not null
     * @return the row's value, not null
     */
    public static String writePointer(SnapshotPlace place) {
        return MAPPER.createObjectNode()
                .put("revision", place.revision())
                .put("parts", place.parts())
                .toString();
    }

    /**
     * Reads a snapshot's place.
     *
     * @param value the row's value, not null
     * @return the place, not null
     * @throws RecordException if the value is of another form
     */
    public static SnapshotPlace readPlace(String value) throws RecordException {
        JsonNode node = parse(value);
        return new SnapshotPlace(requireNonNegative(node, "revision"), (int) requireNonNegative(node, "parts"));
    }

    /**
     * Writes a change.
     *
     * @param entry the change, not null
     * @return the row's value, not null
     */
    public static String writeEntry(LogEntry entry) {
        return toJson(entry).toString();
    }

    /**
     * Reads a change.
     *
     * @param value the row's value, not null
     * @return the change, not null
     * @throws RecordException if the value is of another form
     */
    public static LogEntry readEntry(String value) throws RecordException {
        return toEntry(parse(value));
    }

    /**
     * Writes a snapshot's part.
     *
     * @param entries the records in it, not null
     * @return the row's value, not null
     */
    public static String writePart(List<LogEntry> entries) {
        ArrayNode array = MAPPER.createArrayNode();
        entries.forEach(entry -> array.add(toJson(entry)));
        return array.toString();
    }

    /**
     * Reads a snapshot's part.
     *
     * @param value the row's value, not null
     * @return the records in it, not null
     * @throws RecordException if the value is of another form
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
