package org.geraniumreach.benchmarks.jmh;

/** The sizes at which decisions are measured. */
public enum FleetSize {
    /** A small site's workers and adapters, rounded up. */
    TODAY(16, 3_000),
    /** Half of the size designed for, for the slope. */
    HALF(380, 11_000),
    /** The size designed for. */
    DESIGNED_FOR(760, 22_000);

    /** The adapters that an engine holds. */
    static final int SLOTS_PER_TARGET = 16;

    private final int targets;
    private final int adapters;

    FleetSize(int targets, int adapters) {
        this.targets = targets;
        this.adapters = adapters;
    }

    int targets() {
        return targets;
    }

    int adapters() {
        return adapters;
    }
}
