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
 * Checks a submission whole against the configuration that it would change.
 *
 * <p>Contract: what passes is readable, refers only to records that exist, and leaves no reference without its record.
 * Stateless and safe for use by several threads.
 */
public final class SubmissionCheck {

    private SubmissionCheck() {}

    /**
     * Checks a record by itself.
     *
     * @param key the record, not null
     * @param body its JSON text, not null
     * @return the record, not null
     * @throws RecordException naming the first fault
     */
    public static JsonNode checkRecord(RecordKey key, String body) throws RecordException {
        JsonNode record = RecordReader.parse(body);
        RecordReader.requireNoUnknownFields(key.kind(), record);
        RecordReader.check(key, record);
        return record;
    }

    /**
     * Checks a submission.
     *
     * @param submission the submission, not null
     * @param before the configuration that it would change, not null
     * @return the body to store, or empty if the record is withdrawn
     * @throws RecordException naming the first fault
     */
    public static Optional<String> check(Submission submission, Configuration before) throws RecordException {
        RecordKey key = submission.key();
        Optional<LogEntry> stored = before.entry(key);
        if (submission.body().isEmpty()) {
            if (stored.isEmpty()) {
                throw new RecordException(ResultCode.RECORD_UNKNOWN, key + " does not exist");
            }
            requireUnreferenced(key, before);
            return Optional.empty();
        }
        JsonNode record = checkRecord(key, submission.body().get());
        requireReferences(key, record, before);
        return Optional.of(withStoredUnknownFields(key, (ObjectNode) record, stored));
    }

    /**
     * Queries whether a change in the log is what a submission asked for, apart from fields that were carried over.
     *
     * @param submission the submission, not null
     * @param entry the change, not null
     * @return true if it is
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
        JsonNode asked = RecordReader.parse(submission.body().orElseThrow());
        Iterable<String> fields = asked::fieldNames;
        for (String field : fields) {
            if (!asked.get(field).equals(stored.get(field))) {
                return false;
            }
        }
        return true;
    }

    /* A newer program may have stored fields that this one does not know: losing them at an older entry's write would undo
     * half of a fold-in. They are carried over; a whole newer schema version cannot be, so it is not overwritten. */
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

    private static void requireReferences(RecordKey key, JsonNode record, Configuration before) throws RecordException {
        switch (key.kind()) {
            case KEY -> requireKey(RecordReader.key(key.name(), record), before);
            case ASSIGNMENT -> requireAssignment(RecordReader.assignment(key.name(), record), before);
            case TARGET -> requireTarget(RecordReader.target(key.name(), record), before);
            default -> {
                // the other kinds refer to nothing
            }
        }
    }

    private static void requireKey(AccessKey key, Configuration before) throws RecordException {
        requireRecordExists("account", RecordKind.ACCOUNT, key.account().value(), before);
        Optional<AccessKey> other = before.key(key.digest());
        if (other.isPresent() && !other.get().name().equals(key.name())) {
            throw RecordException.invalid(
                    "digest", "is already that of key " + other.get().name());
        }
    }

    private static void requireAssignment(Assignment assignment, Configuration before) throws RecordException {
        requireRecordExists("account", RecordKind.ACCOUNT, assignment.account().value(), before);
        for (String adapter : assignment.adapters()) {
            requireRecordExists("adapters", RecordKind.ADAPTER, adapter, before);
        }
    }

    private static void requireTarget(Target target, Configuration before) throws RecordException {
        Optional<String> service = target.service().map(ServiceName::value);
        if (service.isPresent()) {
            requireRecordExists("service", RecordKind.SERVICE, service.get(), before);
        }
    }

    private static void requireRecordExists(String path, RecordKind kind, String name, Configuration before)
            throws RecordException {
        if (before.entry(RecordKey.of(kind, name)).isEmpty()) {
            throw new RecordException(
                    ResultCode.REFERENCE_DANGLING, path + ": " + kind.label() + " " + name + " does not exist");
        }
    }

    private static void requireUnreferenced(RecordKey key, Configuration before) throws RecordException {
        if (key.kind() != RecordKind.ACCOUNT && key.kind() != RecordKind.ADAPTER && key.kind() != RecordKind.SERVICE) {
            return;
        }
        for (LogEntry entry : before.entries()) {
            if (references(entry).contains(key)) {
                throw new RecordException(
                        ResultCode.REFERENCE_DANGLING, key + " is still referred to by " + entry.key());
            }
        }
    }

    /* Read from the fields rather than from the values, so that a record in a schema version that is not known here still
     * holds on to what it names under the same fields. */
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
