package org.geraniumreach.coordination.budget;

import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.table.RowKey;

/**
 * The row with the free parts of an account's budget, which no entry holds.
 *
 * <p>Invariants: while the row does not exist, no part has ever been claimed; the free parts and the parts in the rows
 * of all holders add up to the whole. Immutable and safe for use by several threads.
 *
 * @param freeParts the parts that no entry holds
 */
public record AccountRow(long freeParts) {

    /** The name of the table of account rows. */
    public static final String TABLE = "budget-account";

    private static final int SCHEMA_VERSION = 1;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    public AccountRow {
        ShareParts.requireValid(freeParts);
    }

    /**
     * Obtains the key of an account's row.
     *
     * @param account the account, not null
     * @return the key, not null
     */
    public static RowKey keyOf(AccountId account) {
        return RowKey.of(TABLE, account.value());
    }

    /**
     * Serializes the row.
     *
     * @return its JSON text, not null
     */
    public String write() {
        return MAPPER.createObjectNode()
                .put("schemaVersion", SCHEMA_VERSION)
                .put("freeParts", freeParts)
                .toString();
    }

    /**
     * Parses a row.
     *
     * @param text its JSON text, not null
     * @return the row, or empty if the text is not a valid row
     */
    public static Optional<AccountRow> read(String text) {
        try {
            JsonNode free = MAPPER.readTree(text).path("freeParts");
            return free.isIntegralNumber() ? Optional.of(new AccountRow(free.asLong())) : Optional.empty();
        } catch (JsonProcessingException | IllegalArgumentException invalid) {
            return Optional.empty();
        }
    }
}
