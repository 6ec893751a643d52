package org.geraniumreach.serving.residency;

import org.geraniumreach.model.AdapterReference;

/** A resident adapter; guarded by the lock of its {@link Residency}. */
final class Slot {

    private final AdapterReference adapter;
    private final long loadedNanos;
    private long lastUsedNanos;
    private int pinCount;
    private boolean retiring;

    Slot(AdapterReference adapter, long now) {
        this.adapter = adapter;
        this.loadedNanos = now;
        this.lastUsedNanos = now;
    }

    AdapterReference adapter() {
        return adapter;
    }

    long loadedNanos() {
        return loadedNanos;
    }

    void pin(long now) {
        pinCount++;
        lastUsedNanos = now;
    }

    void unpin(long now) {
        pinCount--;
        lastUsedNanos = now;
    }

    boolean isPinned() {
        return pinCount > 0;
    }

    long lastUsedNanos() {
        return lastUsedNanos;
    }

    /** Retires the slot: it takes no new pins, and may be evicted once the last one is released. */
    void retire() {
        retiring = true;
    }

    void cancelRetirement() {
        retiring = false;
    }

    boolean isRetiring() {
        return retiring;
    }
}
