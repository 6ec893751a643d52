package org.geraniumreach.coordination.ledger;

import java.time.Instant;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.commons.codec.digest.DigestUtils;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.table.RowKey;

/**
 * Serializes and parses ledger rows of the table service.
 *
 * <p>Invariants: {@link #read} returns the row passed to {@link #write}; two client accounts never share a row.
 * Stateless and safe for use by several threads.
 */
public final class LedgerRowFormat {

    /** The name of the ledger's table. */
    public static final String TABLE = "ledger";

    private static final int SCHEMA_VERSION = 1;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private LedgerRowFormat() {}

    /** Thrown if the text of a row is not valid. */
    public static final class UnreadableRowException extends Exception {

        private UnreadableRowException(String message, Throwable cause) {
            super(message, cause);
        }
    }

    /**
     * Obtains the key of a row.
     *
     * @param account the client account, not null
     * @param idempotencyKey the caller's key, which is digested since it may be any text, not null
     * @return the key, not null
     */
    public static RowKey keyOf(AccountId account, String idempotencyKey) {
        return RowKey.of(TABLE, account + "/" + DigestUtils.sha256Hex(idempotencyKey));
    }

    /**
     * Computes the digest of a request, which detects a different request with the same key.
     *
     * @param operation the service and operation, not null
     * @param body the body, not null
     * @return the digest, not null
     */
    public static String digestOf(String operation, byte[] body) {
        return DigestUtils.sha256Hex(DigestUtils.sha256Hex(operation) + DigestUtils.sha256Hex(body));
    }

    /**
     * Serializes a row.
     *
     * @param row the row, not null
     * @return its JSON text, not null
     */
    public static String write(LedgerRow row) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("schemaVersion", SCHEMA_VERSION);
        node.put("requestDigest", row.requestDigest());
        node.put("sender", row.sender().instance().value());
        node.put("senderIncarnation", row.sender().incarnation());
        node.put("attempt", row.attempt().value());
        node.put("companion", row.companion().instance().value());
        node.put("companionIncarnation", row.companion().incarnation());
        node.put("state", row.state().name());
        node.put("createdMillis", row.created().toEpochMilli());
        row.answer().ifPresent(answer -> putAnswer(node, answer));
        return node.toString();
    }

    private static void putAnswer(ObjectNode node, StoredAnswer answer) {
        if (answer instanceof StoredAnswer.Inline inline) {
            node.put("answer", inline.base64());
        } else if (answer instanceof StoredAnswer.InObject object) {
            node.put("answerObject", object.key());
        }
    }

    /**
     * Parses a row.
     *
     * @param text its JSON text, not null
     * @return the row, not null
     * @throws UnreadableRowException if the text is not a valid row
     */
    public static LedgerRow read(String text) throws UnreadableRowException {
        try {
            JsonNode node = MAPPER.readTree(text);
            return new LedgerRow(
                    requireField(node, "requestDigest").asText(),
                    new Sender(
                            InstanceId.of(requireField(node, "sender").asText()),
                            requireField(node, "senderIncarnation").asLong()),
                    AttemptId.of(requireField(node, "attempt").asText()),
                    new Companion(
                            InstanceId.of(requireField(node, "companion").asText()),
                            requireField(node, "companionIncarnation").asLong()),
                    LedgerRow.State.valueOf(requireField(node, "state").asText()),
                    Instant.ofEpochMilli(requireField(node, "createdMillis").asLong()),
                    readAnswer(node));
        } catch (JsonProcessingException | IllegalArgumentException invalid) {
            throw new UnreadableRowException("ledger row cannot be read: " + invalid.getMessage(), invalid);
        }
    }

    private static Optional<StoredAnswer> readAnswer(JsonNode node) {
        if (node.hasNonNull("answer")) {
            return Optional.of(new StoredAnswer.Inline(node.get("answer").asText()));
        }
        if (node.hasNonNull("answerObject")) {
            return Optional.of(
                    new StoredAnswer.InObject(node.get("answerObject").asText()));
        }
        return Optional.empty();
    }

    private static JsonNode requireField(JsonNode node, String field) {
        JsonNode value = node.get(field);
        if (value == null || value.isNull()) {
            throw new IllegalArgumentException("field missing: " + field);
        }
        return value;
    }
}
