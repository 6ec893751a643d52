package org.geraniumreach.serving.prefix;

import java.util.Optional;

import org.geraniumreach.model.TargetId;

/**
 * Remembers where the prefixes of conversations were last run.
 *
 * <p>Contract: a belief may be wrong at any time and must cost little then; implementations keep bounded memory and are
 * safe for use by several threads.
 */
public interface PrefixDirectory {

    /**
     * Finds where a prefix is believed to be.
     *
     * @param prefix the prefix, not null
     * @return the belief, or empty if there is none worth having
     */
    Optional<PrefixLocation> find(PrefixDigest prefix);

    /**
     * Tells that a request with a prefix ended.
     *
     * @param prefix the prefix, not null
     * @param target where it ran, not null
     * @param hit whether the target found the prefix in its cache
     */
    void ended(PrefixDigest prefix, TargetId target, boolean hit);

    /**
     * Tells that a target holds no prefixes any more, since its engine restarted or it left.
     *
     * @param target the target, not null
     */
    void forget(TargetId target);

    /**
     * Obtains the baseline, which believes nothing.
     *
     * @return the directory, not null
     */
    static PrefixDirectory none() {
        return NoOpPrefixDirectory.INSTANCE;
    }
}
