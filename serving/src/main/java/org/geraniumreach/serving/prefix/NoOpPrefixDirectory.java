package org.geraniumreach.serving.prefix;

import java.util.Optional;

import org.geraniumreach.model.TargetId;

/** A directory that knows no locations; stateless and safe for use by several threads. */
enum NoOpPrefixDirectory implements PrefixDirectory {
    INSTANCE;

    @Override
    public Optional<PrefixLocation> find(PrefixDigest prefix) {
        return Optional.empty();
    }

    @Override
    public void onRequestEnded(PrefixDigest prefix, TargetId target, boolean hit) {}

    @Override
    public void invalidate(TargetId target) {}
}
