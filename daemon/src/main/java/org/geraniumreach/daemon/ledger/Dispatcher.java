package org.geraniumreach.daemon.ledger;

import java.util.Optional;

import org.geraniumreach.messages.Run;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.InstanceId;

/**
 * Chooses a companion for a request and creates the frame that is sent to it.
 *
 * <p>Contract: safe for use by several threads; the methods do not block.
 */
public interface Dispatcher {

    /**
     * One incarnation of a companion.
     *
     * @param instance the companion
     * @param incarnation the incarnation, the only one that may run the attempt
     */
    record Companion(InstanceId instance, long incarnation) {}

    /**
     * Chooses a companion.
     *
     * @return the companion, or empty if no live target offers the operation
     */
    Optional<Companion> chooseCompanion();

    /**
     * Creates the frame of the request; the ledger sets the attempt and the companion's incarnation, and marks it as not
     * repeatable.
     *
     * @param attempt the attempt, not null
     * @param companion the receiver, not null
     * @return the frame, not null
     */
    Run createRun(AttemptId attempt, Companion companion);
}
