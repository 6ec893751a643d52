package org.geraniumreach.daemon.entry;

import java.util.Objects;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.KeyDigest;
import org.geraniumreach.model.record.ClientAccount;

/**
 * An authenticated sender of requests.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param account the client account that the key belongs to
 * @param key the digest of the key that the request presented
 */
public record Caller(ClientAccount account, KeyDigest key) {

    public Caller {
        Objects.requireNonNull(account, "account");
        Objects.requireNonNull(key, "key");
    }

    public AccountId id() {
        return account.id();
    }
}
