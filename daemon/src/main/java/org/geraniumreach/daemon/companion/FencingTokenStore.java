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
 * Takes and reads the fence of a target, a number that rises with each companion that takes the target over.
 *
 * <p>Invariant: two companions never get the same number, since it is written on the condition that the row has not changed;
 * a write whose answer was lost is settled by reading the row for this companion's own name. Calls block. Safe for use by
 * several threads.
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
     * A fence as the table has it.
     *
     * @param number the number
     * @param isOwn whether this companion has taken it
     */
    record FencingToken(long number, boolean isOwn) {}

    /**
     * Takes the next number.
     *
     * @return the number, or empty if another companion came in between or the answer was lost; try again
     * @throws PlatformException if the table service does not answer, or the row cannot be read
     */
    Optional<Long> acquire() throws PlatformException {
        Optional<Row> row = table.read(key);
        if (row.isPresent()) {
            FencingToken present = parse(row.get());
            if (present.isOwn()) {
                return Optional.of(present.number());
            }
        }
        long number = row.isPresent() ? parse(row.get()).number() + 1 : 1;
        long version = row.map(Row::version).orElse(Transaction.ABSENT_VERSION);
        String value = JSON.createObjectNode()
                .put("number", number)
                .put("holder", holder)
                .toString();
        boolean written =
                table.commit(Transaction.empty().withCondition(key, version).withWrite(key, value));
        return written ? Optional.of(number) : Optional.empty();
    }

    /**
     * Reads the fence.
     *
     * @return the fence, or empty if nobody has taken one
     * @throws PlatformException if the table service does not answer, or the row cannot be read
     */
    Optional<FencingToken> read() throws PlatformException {
        Optional<Row> row = table.read(key);
        return row.isPresent() ? Optional.of(parse(row.get())) : Optional.empty();
    }

    private FencingToken parse(Row row) throws PlatformException {
        try {
            JsonNode json = JSON.readTree(row.value());
            if (!json.path("number").canConvertToLong()) {
                throw unreadable(null);
            }
            return new FencingToken(
                    json.path("number").asLong(), json.path("holder").asText().equals(holder));
        } catch (IOException failure) {
            throw unreadable(failure);
        }
    }

    private PlatformException unreadable(IOException cause) {
        return new PlatformException(
                PlatformException.Effect.NONE,
                PlatformException.Reason.BAD_ANSWER,
                "row " + key.table() + "/" + key.key() + " holds no fence",
                cause);
    }
}
