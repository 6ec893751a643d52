package org.geraniumreach.serving.residency;

import org.geraniumreach.model.AdapterReference;

/**
 * The hold of a running request on its adapter, which is not evicted until all its pins are released.
 *
 * <p>Invariant: released at most once, however often that is told. Safe for use by several threads, under the lock of its
 * residency.
 */
public final class Pin {

    private final Residency residency;
    private final AdapterReference adapter;
    private final long engineEpoch;
    private boolean released;

    Pin(Residency residency, AdapterReference adapter, long epoch) {
        this.residency = residency;
        this.adapter = adapter;
        this.engineEpoch = epoch;
    }

    public AdapterReference adapter() {
        return adapter;
    }

    /** Tells that the request has ended in whatever way. */
    public void release() {
        synchronized (residency) {
            if (released) {
                return;
            }
            released = true;
            residency.unpin(adapter, engineEpoch);
        }
    }
}
