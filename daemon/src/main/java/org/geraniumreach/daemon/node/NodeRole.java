package org.geraniumreach.daemon.node;

import java.util.Locale;

/** The roles of a process. */
public enum NodeRole {
    /** Accepts requests of callers and routes them to companions. */
    ENTRY,
    /** Runs requests at one target. */
    COMPANION;

    /**
     * Gets the label of the role on links and on the instance list.
     *
     * @return the label, not null
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
