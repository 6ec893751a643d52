package org.geraniumreach.coordination.ledger;

/** The answer of a companion to the request to seal an attempt. */
public enum SealResult {
    /** The attempt has not started and never will. */
    NEVER_STARTED,
    /** The attempt is running or has ended. */
    STARTED,
    /** The companion is another incarnation or no longer keeps records of attempts of this age. */
    NOT_KNOWN,
    /** The companion cannot be reached. */
    UNREACHABLE
}
