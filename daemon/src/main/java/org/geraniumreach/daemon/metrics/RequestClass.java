package org.geraniumreach.daemon.metrics;

import java.util.Locale;

/** The classes of request that are measured apart. */
public enum RequestClass {
    COMPLETION,
    CHAT,
    SERVICE;

    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
