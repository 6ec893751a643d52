package org.geraniumreach.gateway.request;

/** What keeps a request from being sent. */
enum WaitCause {
    /** Units of its client account's rate. */
    RATE,
    /** The load of its adapter. */
    ADAPTER,
    /** Room to read its prompt at a target that holds its adapter. */
    PREFILL_CAPACITY
}
