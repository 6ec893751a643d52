package org.geraniumreach.serving.prefix;

import java.util.Objects;

import org.apache.commons.codec.digest.MurmurHash3;
import org.geraniumreach.model.AdapterReference;

/**
 * The digest of the part of a prompt that a conversation's requests share, under one adapter.
 *
 * <p>Invariant: a digest stands for a text under one adapter and version, since an engine's cache does not serve another
 * adapter. Two texts may share a digest; that costs a detour and no correctness, because the engine compares for itself.
 * Immutable and safe for use by several threads.
 *
 * @param high the first 64 bits
 * @param low the last 64 bits
 */
public record PrefixDigest(long high, long low) {

    /**
     * Digests a prefix.
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
