package org.geraniumreach.model.record;

import java.util.Arrays;
import java.util.Optional;

/** The kinds of records, each with the newest schema version that this program can read. */
public enum RecordKind {
    ACCOUNT("account", 2),
    KEY("key", 1),
    ADAPTER("adapter", 1),
    ASSIGNMENT("assignment", 2),
    TARGET("target", 1),
    SERVICE("service", 1);

    private final String label;
    private final int newestSchemaVersion;

    RecordKind(String label, int newestSchemaVersion) {
        this.label = label;
        this.newestSchemaVersion = newestSchemaVersion;
    }

    /**
     * Finds a kind by its label.
     *
     * @param label the label, null returns empty
     * @return the kind, or empty if no kind has this label
     */
    public static Optional<RecordKind> ofLabel(String label) {
        return Arrays.stream(values()).filter(kind -> kind.label.equals(label)).findFirst();
    }

    public String label() {
        return label;
    }

    public int newestSchemaVersion() {
        return newestSchemaVersion;
    }
}
