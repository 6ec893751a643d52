package org.geraniumreach.coordination.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.geraniumreach.model.Names;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServiceName;
import org.geraniumreach.model.record.AccessKey;
import org.geraniumreach.model.record.Assignment;
import org.geraniumreach.model.record.Configuration;
import org.geraniumreach.model.record.LogEntry;
import org.geraniumreach.model.record.RecordException;
import org.geraniumreach.model.record.RecordKey;
import org.geraniumreach.model.record.RecordKind;
import org.geraniumreach.model.record.RecordReader;
import org.geraniumreach.model.record.Target;

/**
 * Validates submissions against the configuration that they would change.
 *
 * <p>Contract: an accepted submission is readable, refers only to existing records, and leaves no dangling reference.
 * Stateless and safe for use by several threads.
 */
public final class SubmissionCheck {

    private SubmissionCheck() {}

    /**
     * Validates a record without its references.
     *
     * @param key the key of the record, not null
     * @param body the JSON text of the record, not null
     * @return the parsed record, not null
     * @throws RecordException naming the first fault
     */
    public static JsonNode checkRecord(RecordKey key, String body) throws RecordException {
        JsonNode record = RecordReader.parse(body);
        RecordReader.requireNoUnknownFields(key.kind(), record);
        RecordReader.check(key, record);
        return record;
    }

    /**
     * Validates a submission.
     *
     * @param submission the submission, not null
     * @param current the configuration that it would change, not null
     * @return the body to store, or empty if the record is withdrawn
     * @throws RecordException naming the first fault
     */
    public static Optional<String> check(Submission submission, Configuration current) throws RecordException {
        RecordKey key = submission.key();
        Optional<LogEntry> stored = current.entry(key);
        if (submission.body().isEmpty()) {
            if (stored.isEmpty()) {
                throw new RecordException(ResultCode.RECORD_UNKNOWN, key + " does not exist");
            }
            requireUnreferenced(key, current);
            return Optional.empty();
        }
        JsonNode record = checkRecord(key, submission.body().get());
        requireReferences(key, record, current);
        return Optional.of(withStoredUnknownFields(key, (ObjectNode) record, stored));
    }

    /**
     * Checks whether a log entry is the change that a submission requested, ignoring fields carried over from the stored
     * record.
     *
     * @param submission the submission, not null
     * @param entry the log entry, not null
     * @return true if the entry matches
     * @throws RecordException if one of the records is malformed
     */
    static boolean isAppliedAs(Submission submission, LogEntry entry) throws RecordException {
        if (!entry.key().equals(submission.key())
                || entry.body().isPresent() != submission.body().isPresent()) {
            return false;
        }
        if (entry.body().isEmpty()) {
            return true;
        }
        JsonNode stored = RecordReader.parse(entry.body().get());
        JsonNode requested = RecordReader.parse(submission.body().orElseThrow());
        Iterable<String> fields = requested::fieldNames;
        for (String field : fields) {
            if (!requested.get(field).equals(stored.get(field))) {
                return false;
            }
        }
        return true;
    }

    /* A newer program may have stored fields that this one does not know. They are carried over, because losing them in a
     * write by an older entry would partly revert the newer change. A record of a newer schema version cannot be merged, so
     * it is not overwritten. */
    private static String withStoredUnknownFields(RecordKey key, ObjectNode record, Optional<LogEntry> stored)
            throws RecordException {
        if (stored.isEmpty()) {
            return record.toString();
        }
        JsonNode old = RecordReader.parse(stored.get().body().orElseThrow());
        for (String field : RecordReader.unknownFields(key.kind(), old)) {
            record.set(field, old.get(field));
        }
        return record.toString();
    }

    private static void requireReferences(RecordKey key, JsonNode record, Configuration current)
            throws RecordException {
        switch (key.kind()) {
            case KEY -> requireKey(RecordReader.key(key.name(), record), current);
            case ASSIGNMENT -> requireAssignment(RecordReader.assignment(key.name(), record), current);
            case TARGET -> requireTarget(RecordReader.target(key.name(), record), current);
            default -> {
                // other kinds have no references
            }
        }
    }

    private static void requireKey(AccessKey key, Configuration current) throws RecordException {
        requireRecordExists("account", RecordKind.ACCOUNT, key.account().value(), current);
        Optional<AccessKey> other = current.key(key.digest());
        if (other.isPresent() && !other.get().name().equals(key.name())) {
            throw RecordException.invalid(
                    "digest", "is already that of key " + other.get().name());
        }
    }

    private static void requireAssignment(Assignment assignment, Configuration current) throws RecordException {
        requireRecordExists("account", RecordKind.ACCOUNT, assignment.account().value(), current);
        for (String adapter : assignment.adapters()) {
            requireRecordExists("adapters", RecordKind.ADAPTER, adapter, current);
        }
    }

    private static void requireTarget(Target target, Configuration current) throws RecordException {
        Optional<String> service = target.service().map(ServiceName::value);
        if (service.isPresent()) {
            requireRecordExists("service", RecordKind.SERVICE, service.get(), current);
        }
    }

    private static void requireRecordExists(String path, RecordKind kind, String name, Configuration current)
            throws RecordException {
        if (current.entry(RecordKey.of(kind, name)).isEmpty()) {
            throw new RecordException(
                    ResultCode.REFERENCE_DANGLING, path + ": " + kind.label() + " " + name + " does not exist");
        }
    }

    private static void requireUnreferenced(RecordKey key, Configuration current) throws RecordException {
        if (key.kind() != RecordKind.ACCOUNT && key.kind() != RecordKind.ADAPTER && key.kind() != RecordKind.SERVICE) {
            return;
        }
        for (LogEntry entry : current.entries()) {
            if (references(entry).contains(key)) {
                throw new RecordException(
                        ResultCode.REFERENCE_DANGLING, key + " is still referred to by " + entry.key());
            }
        }
    }

    /* Reads the JSON fields instead of the parsed record, so that references in a record of an unknown schema version are
     * found if it uses the same fields. */
    private static List<RecordKey> references(LogEntry entry) throws RecordException {
        List<RecordKey> references = new ArrayList<>();
        RecordKind kind = entry.key().kind();
        if (kind != RecordKind.KEY && kind != RecordKind.ASSIGNMENT && kind != RecordKind.TARGET) {
            return references;
        }
        JsonNode record = RecordReader.parse(entry.body().orElseThrow());
        addReference(references, RecordKind.ACCOUNT, record.path("account"));
        addReference(references, RecordKind.ADAPTER, record.path("adapter"));
        addReference(references, RecordKind.SERVICE, record.path("service"));
        record.path("adapters").forEach(adapter -> addReference(references, RecordKind.ADAPTER, adapter));
        return references;
    }

    private static void addReference(List<RecordKey> references, RecordKind kind, JsonNode name) {
        if (name.isTextual() && Names.isName(name.textValue())) {
            references.add(RecordKey.of(kind, name.textValue()));
        }
    }
}
