package org.geraniumreach.gateway.adapter;

/** The result of an order. */
public enum OrderResult {
    /** The target has accepted the order and is executing it. */
    ACCEPTED,
    /** The target is in the requested state already. */
    ALREADY_SO,
    /** The target has accepted another number of orders, or is executing another order. */
    CONFLICT,
    /** The target has seen a higher fencing token. */
    FENCED,
    /** The address belongs to another target or another incarnation of it. */
    ANOTHER_TARGET,
    /** The target has refused the order, which had no effect. */
    REFUSED,
    /** No answer was received: the order may have been accepted, or may still be. */
    UNKNOWN
}
