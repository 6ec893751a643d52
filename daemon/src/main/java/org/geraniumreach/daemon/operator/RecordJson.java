package org.geraniumreach.daemon.operator;

import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.geraniumreach.model.record.LogEntry;

/**
 * Formats configuration changes and records as JSON.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class RecordJson {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private RecordJson() {}

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static ArrayNode of(List<LogEntry> entries) {
        ArrayNode array = MAPPER.createArrayNode();
        entries.forEach(entry -> array.add(of(entry)));
        return array;
    }

    static ObjectNode of(LogEntry entry) {
        ObjectNode json = object().put("revision", entry.revision())
                .put("operation", entry.operation())
                .put("kind", entry.key().kind().label())
                .put("name", entry.key().name())
                .put("withdrawn", entry.body().isEmpty());
        entry.body().ifPresent(body -> putBody(json, body));
        return json;
    }

    private static void putBody(ObjectNode json, String body) {
        try {
            json.set("record", MAPPER.readTree(body));
        } catch (JsonProcessingException unreadable) {
            json.put("unreadable", body);
        }
    }
}
