package org.geraniumreach.serving.residency;

import org.geraniumreach.model.AdapterReference;

/** A resident adapter; confined to the lock of its residency. */
final class Slot {

    private final AdapterReference adapter;
    private final long loadedAt;
    private long usedAt;
    private int pins;
    private boolean retiring;

    Slot(AdapterReference adapter, long now) {
        this.adapter = adapter;
        this.loadedAt = now;
        this.usedAt = now;
    }

    AdapterReference adapter() {
        return adapter;
    }

    long loadedAt() {
        return loadedAt;
    }

    void pin(long now) {
        pins++;
        usedAt = now;
    }

    void unpin(long now) {
        pins--;
        usedAt = now;
    }

    boolean isPinned() {
        return pins > 0;
    }

    long usedAt() {
        return usedAt;
    }

    /** Lets the slot run out: it takes no new pins, and is evicted once the last is released. */
    void retire() {
        retiring = true;
    }

    void keep() {
        retiring = false;
    }

    boolean isRetiring() {
        return retiring;
    }
}
