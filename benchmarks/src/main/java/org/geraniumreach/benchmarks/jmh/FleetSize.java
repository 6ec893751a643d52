package org.geraniumreach.benchmarks.jmh;

/** The fleet sizes that the benchmarks measure. */
public enum FleetSize {
    /** The targets and adapters of a small site, rounded up. */
    TODAY(16, 3_000),
    /** Half of the design size, to show how costs grow with size. */
    HALF(380, 11_000),
    /** The design size. */
    DESIGNED_FOR(760, 22_000);

    /** The number of adapters that one engine can hold. */
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
