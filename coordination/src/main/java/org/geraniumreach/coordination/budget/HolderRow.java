package org.geraniumreach.coordination.budget;

import java.util.Iterator;
import java.util.Objects;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.table.RowKey;

/**
 * The row with the shares of one entry; its version serves as the entry's lease.
 *
 * <p>Invariant: a key is never reused after its row was deleted, since a delayed commit could match the version of the
 * new row. Immutable and safe for use by several threads.
 *
 * @param holder the owner of the row
 * @param renewals the number of renewals of the lease
 * @param shares the shares
 */
public record HolderRow(HolderId holder, long renewals, ShareSet shares) {

    /** The name of the table of holder rows. */
    public static final String TABLE = "budget-holder";

    private static final int SCHEMA_VERSION = 1;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    public HolderRow {
        Objects.requireNonNull(holder, "holder");
        Objects.requireNonNull(shares, "shares");
    }

    /**
     * Obtains the key of a holder's row.
     *
     * @param holder the holder, not null
     * @param generation the number of earlier rows of this holder
     * @return the key, not null
     */
    public static RowKey keyOf(HolderId holder, int generation) {
        return RowKey.of(TABLE, holder.instance() + "/" + holder.incarnation() + "/" + generation);
    }

    /**
     * Gets the instance that owns the row with a key.
     *
     * @param key the key, not null
     * @return the instance, not null
     */
    public static InstanceId instanceOf(RowKey key) {
        return InstanceId.of(key.key().substring(0, key.key().indexOf('/')));
    }

    /**
     * Serializes the row.
     *
     * @return its JSON text, not null
     */
    public String write() {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("schemaVersion", SCHEMA_VERSION);
        node.put("instance", holder.instance().value());
        node.put("address", holder.address());
        node.put("incarnation", holder.incarnation());
        node.put("renewals", renewals);
        ObjectNode parts = node.putObject("shares");
        shares.accounts().forEach(account -> parts.put(account.value(), shares.parts(account)));
        return node.toString();
    }

    /**
     * Parses a row.
     *
     * @param text its JSON text, not null
     * @return the row, or empty if the text is not a valid row
     */
    public static Optional<HolderRow> read(String text) {
        try {
            JsonNode node = MAPPER.readTree(text);
            HolderId holder = new HolderId(
                    InstanceId.of(node.path("instance").asText()),
                    node.path("address").asText(),
                    node.path("incarnation").asLong());
            return Optional.of(new HolderRow(holder, node.path("renewals").asLong(), readShares(node.path("shares"))));
        } catch (JsonProcessingException | IllegalArgumentException invalid) {
            return Optional.empty();
        }
    }

    private static ShareSet readShares(JsonNode parts) {
        ShareSet shares = ShareSet.EMPTY;
        for (Iterator<String> names = parts.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            shares = shares.with(AccountId.of(name), parts.get(name).asLong());
        }
        return shares;
    }
}
