package org.geraniumreach.standalone;

import java.net.http.HttpRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;
import org.geraniumreach.ports.PlatformException;
import org.geraniumreach.ports.PlatformException.Effect;
import org.geraniumreach.ports.PlatformException.Reason;
import org.geraniumreach.ports.TableService;

/**
 * Accesses the table service over HTTP.
 *
 * <p>Invariant: a response that lacks a field is a failure; it is never treated as an absent row or a rejected commit.
 * Safe for use by several threads.
 */
final class HttpTableService implements TableService {

    private final HttpTransport transport;

    HttpTableService(HttpTransport transport) {
        this.transport = transport;
    }

    @Override
    public Optional<Row> read(RowKey key) throws PlatformException {
        QueryPath query = QueryPath.of("/v1/rows").with("table", key.table()).with("key", key.key());
        return rows(key.table(), query).stream().findFirst();
    }

    @Override
    public List<Row> scan(String table, String prefix, String after, int limit) throws PlatformException {
        if (limit < 1) {
            throw new IllegalArgumentException("limit below 1: " + limit);
        }
        QueryPath query = QueryPath.of("/v1/scan")
                .with("table", table)
                .with("prefix", prefix)
                .with("after", after)
                .with("limit", limit);
        return rows(table, query);
    }

    @Override
    public boolean commit(Transaction transaction) throws PlatformException {
        HttpRequest request = transport.post("/v1/transactions", toJson(transaction));
        JsonNode committed = transport.callForJson(request).path("committed");
        if (!committed.isBoolean()) {
            throw new PlatformException(Effect.UNKNOWN, Reason.BAD_ANSWER, "answer lacks 'committed'", null);
        }
        return committed.asBoolean();
    }

    private List<Row> rows(String table, QueryPath query) throws PlatformException {
        JsonNode rows = transport
                .callForJson(transport.request(query.text()).GET().build())
                .path("rows");
        if (!rows.isArray()) {
            throw new PlatformException(Effect.UNKNOWN, Reason.BAD_ANSWER, "answer lacks 'rows'", null);
        }
        List<Row> result = new ArrayList<>(rows.size());
        for (JsonNode row : rows) {
            result.add(toRow(table, row));
        }
        return result;
    }

    private static Row toRow(String table, JsonNode row) throws PlatformException {
        JsonNode key = row.path("key");
        JsonNode version = row.path("version");
        JsonNode value = row.path("value");
        if (!key.isTextual() || !version.canConvertToLong() || !value.isTextual()) {
            throw new PlatformException(Effect.UNKNOWN, Reason.BAD_ANSWER, "row lacks key, version or value", null);
        }
        return new Row(RowKey.of(table, key.asText()), version.asLong(), value.asText());
    }

    private static ObjectNode toJson(Transaction transaction) {
        ObjectNode json = HttpTransport.JSON.createObjectNode();
        ArrayNode conditions = json.putArray("conditions");
        for (Transaction.Condition condition : transaction.conditions()) {
            putKey(conditions.addObject(), condition.key()).put("version", condition.version());
        }
        ArrayNode writes = json.putArray("writes");
        for (Transaction.Write write : transaction.writes()) {
            putKey(writes.addObject(), write.key()).put("value", write.value().orElse(null));
        }
        return json;
    }

    private static ObjectNode putKey(ObjectNode json, RowKey key) {
        return json.put("table", key.table()).put("key", key.key());
    }
}
