package org.geraniumreach.serving.prefix;

import java.util.Objects;

import org.geraniumreach.model.TargetId;

/**
 * The target that probably caches a prefix.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param target the target
 * @param confidence the estimated probability that the target caches the prefix, 0 to 1
 */
public record PrefixLocation(TargetId target, double confidence) {

    public PrefixLocation {
        Objects.requireNonNull(target, "target");
        if (!(confidence >= 0 && confidence <= 1)) {
            throw new IllegalArgumentException("confidence outside 0 to 1: " + confidence);
        }
    }
}
