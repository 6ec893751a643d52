package org.geraniumreach.gateway.adapter;

/** What came of an order. */
public enum OrderResult {
    /** It is being carried out. */
    ACCEPTED,
    /** What it asks for is so already. */
    ALREADY_SO,
    /** The target has accepted another number of orders, or is carrying one out. */
    CONFLICT,
    /** A higher fence was seen there. */
    FENCED,
    /** Another target, or another life of it, has the address. */
    ANOTHER_TARGET,
    /** It was refused, and did nothing. */
    REFUSED,
    /** There was no answer: it may have been accepted, or may be later. */
    UNKNOWN
}
