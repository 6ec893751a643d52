package org.geraniumreach.serving.prefix;

import java.util.Optional;

import org.geraniumreach.model.TargetId;

/**
 * Records at which target each conversation's prefix was last run.
 *
 * <p>Contract: a location may be wrong at any time, which must cost little; implementations use bounded memory and are
 * safe for use by several threads.
 */
public interface PrefixDirectory {

    /**
     * Finds the target that probably caches a prefix.
     *
     * @param prefix the prefix, not null
     * @return the location, or empty if none is known with enough confidence
     */
    Optional<PrefixLocation> find(PrefixDigest prefix);

    /**
     * Called when a request with a prefix has ended.
     *
     * @param prefix the prefix, not null
     * @param target the target that ran the request, not null
     * @param hit whether the target found the prefix in its cache
     */
    void onRequestEnded(PrefixDigest prefix, TargetId target, boolean hit);

    /**
     * Invalidates all locations at a target whose engine restarted or which left.
     *
     * @param target the target, not null
     */
    void invalidate(TargetId target);

    /**
     * Obtains a directory that knows no locations.
     *
     * @return the directory, not null
     */
    static PrefixDirectory none() {
        return NoOpPrefixDirectory.INSTANCE;
    }
}
