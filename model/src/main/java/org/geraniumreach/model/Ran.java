package org.geraniumreach.model;

/** Whether a request that was not answered has run; said with each refusal. */
public enum Ran {
    /** It has not run and never will; said only where that can be shown. */
    NO,
    /** It may have run, or may be running. */
    UNKNOWN,
    /** It has run. */
    YES
}
