package org.geraniumreach.model;

/** Whether a request that was not answered was executed; reported with each refusal. */
public enum ExecutionStatus {
    /** It was not executed and never will be; reported only where this is certain. */
    NO,
    /** It may have been executed or may still be running. */
    UNKNOWN,
    /** It was executed. */
    YES
}
