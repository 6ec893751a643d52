package org.geraniumreach.standins.http;

/**
 * Holds the faults of a stand-in and disables them after a set number of affected calls.
 *
 * <p>Invariant: faults with a count affect exactly that many calls. Safe for use by several threads.
 */
public final class FaultInjector {

    private Faults faults = Faults.NONE;
    private int remainingCalls;

    /**
     * Replaces the faults.
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
     * Returns the faults to inject into a call, and counts the call if it is affected.
     *
     * @param path the call's path, not null
     * @return the faults, {@link Faults#NONE} if the call is not affected, not null
     */
    public synchronized Faults takeFaults(String path) {
        Faults active = faults;
        if (active == Faults.NONE || !path.startsWith(active.path())) {
            return Faults.NONE;
        }
        if (active.count() > 0 && --remainingCalls == 0) {
            faults = Faults.NONE;
        }
        return active;
    }
}
