package org.geraniumreach.gateway.request;

/** The cause for which a request waits before it is sent. */
enum WaitCause {
    /** Quota units of its client account's rate. */
    RATE,
    /** A reading of the store's rows that are older than allowed. */
    READING,
    /** The load of its adapter. */
    ADAPTER,
    /** What becomes of a request that may end targets, or of a target that may have ended. */
    SUSPICION,
    /** Capacity for the prefill of its prompt at a target that holds its adapter. */
    PREFILL_CAPACITY
}
