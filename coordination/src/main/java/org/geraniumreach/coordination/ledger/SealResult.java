package org.geraniumreach.coordination.ledger;

/** What a companion says of an attempt that it was asked to seal. */
public enum SealResult {
    /** It has not started and never will. */
    NEVER_STARTED,
    /** It is running or has ended. */
    STARTED,
    /** The companion is another incarnation, or has forgotten attempts that are as old. */
    NOT_KNOWN,
    /** The companion cannot be reached. */
    UNREACHABLE
}
