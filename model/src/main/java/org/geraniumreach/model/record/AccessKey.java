package org.geraniumreach.model.record;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.KeyDigest;

/**
 * A key with which callers authenticate as a client account. Only its digest is stored.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the public name of the key
 * @param account the client account
 * @param digest the digest of the secret
 */
public record AccessKey(String name, AccountId account, KeyDigest digest) {}
