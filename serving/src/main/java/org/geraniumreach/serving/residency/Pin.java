package org.geraniumreach.serving.residency;

import org.geraniumreach.model.AdapterReference;

/**
 * Protects the adapter of a running request from eviction until all its pins are released.
 *
 * <p>Invariant: released at most once, even if {@link #release} is called repeatedly. Safe for use by several threads,
 * under the lock of its {@link Residency}.
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

    /** Releases the pin, when the request has ended, whether it succeeded or not. */
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
