package org.geraniumreach.daemon.companion;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;
import org.geraniumreach.ports.PlatformException;
import org.geraniumreach.ports.TableService;

/**
 * Acquires and reads the fencing token of a target, which increases with each companion that takes the target over.
 *
 * <p>Invariant: two companions never get the same token, since it is written on the condition that the row has not
 * changed. If the answer to a write is lost, the next call reads the row and finds this companion as the holder.
 * Methods block. Safe for use by several threads.
 */
final class FencingTokenStore {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String TABLE = "fence";

    private final TableService table;
    private final RowKey key;
    private final String holder;

    FencingTokenStore(TableService table, TargetId target, InstanceId instance, long incarnation) {
        this.table = table;
        this.key = RowKey.of(TABLE, target.value());
        this.holder = instance + "/" + incarnation;
    }

    /**
     * A fencing token as stored in the table.
     *
     * @param number the token
     * @param isOwn whether this companion holds it
     */
    record FencingToken(long number, boolean isOwn) {}

    /**
     * Acquires the next token.
     *
     * @return the token, or empty if another companion acquired one concurrently; the caller tries again
     * @throws PlatformException if the table service does not answer, the answer to the write is lost, or the row is
     * malformed
     */
    Optional<Long> acquire() throws PlatformException {
        Optional<Row> row = table.read(key);
        if (row.isPresent()) {
            FencingToken current = parse(row.get());
            if (current.isOwn()) {
                return Optional.of(current.number());
            }
        }
        long number = row.isPresent() ? parse(row.get()).number() + 1 : 1;
        long version = row.map(Row::version).orElse(Transaction.ABSENT_VERSION);
        String value = JSON.createObjectNode()
                .put("number", number)
                .put("holder", holder)
                .toString();
        boolean isWritten =
                table.commit(Transaction.empty().withCondition(key, version).withWrite(key, value));
        return isWritten ? Optional.of(number) : Optional.empty();
    }

    /**
     * Reads the current token.
     *
     * @return the token, or empty if none was ever acquired
     * @throws PlatformException if the table service does not answer or the row is malformed
     */
    Optional<FencingToken> read() throws PlatformException {
        Optional<Row> row = table.read(key);
        return row.isPresent() ? Optional.of(parse(row.get())) : Optional.empty();
    }

    private FencingToken parse(Row row) throws PlatformException {
        try {
            JsonNode json = JSON.readTree(row.value());
            if (!json.path("number").canConvertToLong()) {
                throw malformed(null);
            }
            return new FencingToken(
                    json.path("number").asLong(), json.path("holder").asText().equals(holder));
        } catch (IOException failure) {
            throw malformed(failure);
        }
    }

    private PlatformException malformed(IOException cause) {
        return new PlatformException(
                PlatformException.Effect.NONE,
                PlatformException.Reason.BAD_ANSWER,
                "row " + key.table() + "/" + key.key() + " holds no fencing token",
                cause);
    }
}
