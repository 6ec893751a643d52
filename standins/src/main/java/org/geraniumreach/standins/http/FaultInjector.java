package org.geraniumreach.standins.http;

/**
 * Holds a stand-in's faults, and counts the calls struck by one that ends by itself.
 *
 * <p>Invariant: a fault with a count strikes exactly so many calls. Safe for use by several threads.
 */
public final class FaultInjector {

    private Faults faults = Faults.NONE;
    private int remainingCalls;

    /**
     * Sets the faults.
     *
     * @param newFaults the faults, not null
     */
    public synchronized void set(Faults newFaults) {
        faults = newFaults;
        remainingCalls = newFaults.count();
    }

    public synchronized Faults current() {
        return faults;
    }

    /**
     * Takes the faults that strike a call.
     *
     * @param path the call's path, not null
     * @return the faults, not null
     */
    public synchronized Faults takeFaults(String path) {
        Faults now = faults;
        if (now == Faults.NONE || !path.startsWith(now.path())) {
            return Faults.NONE;
        }
        if (now.count() > 0 && --remainingCalls == 0) {
            faults = Faults.NONE;
        }
        return now;
    }
}
