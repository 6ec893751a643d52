package org.geraniumreach.daemon.operator;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.geraniumreach.coordination.configuration.Submission;
import org.geraniumreach.model.Names;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServingException;
import org.geraniumreach.model.record.RecordKey;
import org.geraniumreach.model.record.RecordKind;

/**
 * Reads the JSON requests of operators.
 *
 * <p>Contract: every error message names the path of the faulty field. Stateless and safe for use by several threads.
 */
final class SubmissionRequests {

    private SubmissionRequests() {}

    static Submission submission(JsonNode request, Optional<String> body) throws ServingException {
        String operation = text(request, "operation");
        if (!Names.isName(operation)) {
            throw malformed("operation", "is not a valid name");
        }
        JsonNode basedOn = request.path("basedOn");
        if (!basedOn.isIntegralNumber() || !basedOn.canConvertToLong() || basedOn.longValue() < 0) {
            throw malformed("basedOn", "must be a revision, a whole number from 0");
        }
        return new Submission(operation, basedOn.longValue(), key(request), body);
    }

    static String record(JsonNode request) throws ServingException {
        JsonNode record = request.path("record");
        if (!record.isObject()) {
            throw malformed("record", "must be an object");
        }
        return record.toString();
    }

    static JsonNode records(JsonNode request) throws ServingException {
        JsonNode records = request.path("records");
        if (!records.isArray()) {
            throw malformed("records", "must be a list");
        }
        return records;
    }

    static RecordKey key(JsonNode request) throws ServingException {
        return key(text(request, "kind"), text(request, "name"));
    }

    static RecordKey key(String label, String name) throws ServingException {
        RecordKind kind = kind(label);
        if (!Names.isName(name)) {
            throw malformed("name", "is not a valid name");
        }
        return RecordKey.of(kind, name);
    }

    static RecordKind kind(String label) throws ServingException {
        List<String> labels =
                List.of(RecordKind.values()).stream().map(RecordKind::label).toList();
        return RecordKind.ofLabel(label).orElseThrow(() -> malformed("kind", "must be one of " + labels));
    }

    private static String text(JsonNode request, String field) throws ServingException {
        JsonNode node = request.path(field);
        if (!node.isTextual()) {
            throw malformed(field, "must be text");
        }
        return node.textValue();
    }

    private static ServingException malformed(String path, String fault) {
        return ServingException.notRun(ResultCode.MALFORMED_REQUEST, path + ": " + fault);
    }
}
