package org.geraniumreach.coordination.budget;

import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.table.RowKey;

/**
 * The row that holds the parts of one account's budget that no entry holds.
 *
 * <p>Invariants: while there is no row, no part was ever given out; these parts and those in the rows of all holders make the
 * whole. Immutable and safe for use by several threads.
 *
 * @param freeParts the parts that nobody holds
 */
public record AccountRow(long freeParts) {

    /** The table of these rows. */
    public static final String TABLE = "budget-account";

    private static final int SCHEMA_VERSION = 1;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    public AccountRow {
        ShareParts.require(freeParts);
    }

    /**
     * Obtains the place of an account's row.
     *
     * @param account the account, not null
     * @return the place, not null
     */
    public static RowKey keyOf(AccountId account) {
        return RowKey.of(TABLE, account.value());
    }

    /**
     * Writes the row.
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
     * Reads a row.
     *
     * @param text its JSON text, not null
     * @return the row, or empty if the text is not one
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
