package org.geraniumreach.daemon.node;

import java.util.Locale;

/** What a process of the system does. */
public enum NodeRole {
    /** Takes callers' requests. */
    ENTRY,
    /** Speaks to one target. */
    COMPANION;

    /**
     * Gets the role as links and the instance list write it.
     *
     * @return the label, not null
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
