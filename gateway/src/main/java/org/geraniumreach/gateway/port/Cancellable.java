package org.geraniumreach.gateway.port;

/** Something under way that can be called off; calling it off after its end does nothing. */
@FunctionalInterface
public interface Cancellable {

    /** Something that has ended, or never began. */
    Cancellable NOTHING = () -> {};

    /** Calls it off; nobody is told of it any more. */
    void cancel();
}
