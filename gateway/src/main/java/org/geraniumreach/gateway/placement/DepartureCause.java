package org.geraniumreach.gateway.placement;

/** What shows that an incarnation of a target leaves or has left. */
public enum DepartureCause {
    /** Its row says that it is draining. */
    DRAINING_ROW,
    /** Its row was removed while the store was available. */
    ROW_REMOVED,
    /** Its row lapsed in a store outage and was not rewritten in time. */
    ROW_NOT_REWRITTEN,
    /** A newer incarnation has the same name. */
    RESTARTED,
    /** Another target answers at its address. */
    ENDED
}
