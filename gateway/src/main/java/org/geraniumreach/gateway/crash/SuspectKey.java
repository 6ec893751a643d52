package org.geraniumreach.gateway.crash;

import java.util.Objects;

/**
 * Identifies what may be the reason why targets ended.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param kind the kind of the suspect
 * @param hash the first eight bytes of a cryptographic hash, so that nobody can make two suspects collide at will
 */
public record SuspectKey(Kind kind, long hash) {

    /** What is under suspicion. */
    public enum Kind {
        /** A request with all its attempts, of which copies are rarely sent at the same time. */
        REQUEST(1, 1),
        /** A part of prompts, which many sound requests may share. */
        PROMPT_PART(2, 2);

        private final int trialEnds;
        private final int refusalRequests;

        Kind(int trialEnds, int refusalRequests) {
            this.trialEnds = trialEnds;
            this.refusalRequests = refusalRequests;
        }

        /**
         * Gets the number of ends from which on one request is tried at a time.
         *
         * @return the number, at least 1
         */
        int trialEnds() {
            return trialEnds;
        }

        /**
         * Gets the number of different requests that must have been at the ended targets before the suspect is refused.
         *
         * @return the number, at least 1
         */
        int refusalRequests() {
            return refusalRequests;
        }
    }

    public SuspectKey {
        Objects.requireNonNull(kind, "kind");
    }

    @Override
    public String toString() {
        return kind + ":" + Long.toHexString(hash);
    }
}
