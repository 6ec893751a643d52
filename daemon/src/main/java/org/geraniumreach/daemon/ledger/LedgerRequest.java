package org.geraniumreach.daemon.ledger;

import java.util.Objects;

import org.geraniumreach.model.AccountId;

/**
 * A request that runs at most once.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param account the client account
 * @param idempotencyKey the value of the Idempotency-Key header
 * @param operation the service and operation, as {@code service/operation}
 * @param body the request's body; the array must not be changed afterwards
 */
public record LedgerRequest(AccountId account, String idempotencyKey, String operation, byte[] body) {

    public LedgerRequest {
        Objects.requireNonNull(account, "account");
        Objects.requireNonNull(idempotencyKey, "idempotencyKey");
        Objects.requireNonNull(operation, "operation");
        Objects.requireNonNull(body, "body");
    }
}
