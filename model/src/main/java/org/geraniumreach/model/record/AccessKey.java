package org.geraniumreach.model.record;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.KeyDigest;

/**
 * A key by which callers act for a client account; only its digest is kept.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the key's public name
 * @param account the account that it acts for
 * @param digest the digest of the secret
 */
public record AccessKey(String name, AccountId account, KeyDigest digest) {}
