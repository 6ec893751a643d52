package org.geraniumreach.httpserver;

/** Why a connection of a caller was closed. */
public enum CloseCause {

    /** More connections were opened than the event loop has time for. */
    NOT_ACCEPTED,

    /** The process drains, and no request was being read or answered. */
    DRAIN,

    /** The process exits. */
    EXIT,

    /** An answer was aborted, or was the last one of its connection. */
    ANSWER,

    /** The caller reads its answer too slowly. */
    SLOW_READER,

    /** A part of an answer could not be written. */
    WRITE_FAILED,

    /** The caller has closed or reset it. */
    CALLER,

    /** The HTTP library has closed it: the head was malformed, or nothing was received for the idle timeout. */
    LIBRARY
}
