package org.geraniumreach.httpclient;

/** Whether a failed call may have reached the server. */
public enum CallFailure {
    /** No connection was opened, so the server cannot have received the request. */
    NOT_SENT,
    /** All or part of the request was written to a connection, so the server may have processed it. */
    BROKEN
}
