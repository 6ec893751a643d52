package org.geraniumreach.serving.prefix;

import java.util.Objects;

import org.apache.commons.codec.digest.MurmurHash3;
import org.geraniumreach.model.AdapterReference;

/**
 * The digest of the prompt prefix that the requests of a conversation share, under one adapter.
 *
 * <p>Invariant: a digest covers the text, the adapter and its version, since an engine's cached prefix cannot be used
 * with another adapter. Two texts may have the same digest; that costs a detour but no correctness, because the engine
 * compares the text itself. Immutable and safe for use by several threads.
 *
 * @param high the first 64 bits
 * @param low the last 64 bits
 */
public record PrefixDigest(long high, long low) {

    /**
     * Computes the digest of a prefix.
     *
     * @param adapter the adapter, not null
     * @param prefix the bytes of the shared text, not null
     * @return the digest, not null
     */
    public static PrefixDigest of(AdapterReference adapter, byte[] prefix) {
        Objects.requireNonNull(prefix, "prefix");
        long[] hash = MurmurHash3.hash128x64(prefix, 0, prefix.length, adapter.hashCode());
        return new PrefixDigest(hash[0], hash[1]);
    }
}
