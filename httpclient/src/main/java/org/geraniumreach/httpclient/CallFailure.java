package org.geraniumreach.httpclient;

/** How far a failed call had come. */
public enum CallFailure {
    /** No connection was opened, so the other end cannot have seen the call. */
    NOT_SENT,
    /** The request, or a part of it, was handed to a connection; the other end may have acted on it. */
    BROKEN
}
