package org.geraniumreach.daemon.node;

/** What a process of the system does. */
public enum NodeRole {
    /** Takes callers' requests. */
    ENTRY,
    /** Speaks to one target. */
    COMPANION
}
