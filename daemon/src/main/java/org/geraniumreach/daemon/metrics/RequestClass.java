package org.geraniumreach.daemon.metrics;

import java.util.Locale;

/** The classes of requests that are measured separately. */
public enum RequestClass {
    COMPLETION,
    CHAT,
    SERVICE;

    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
