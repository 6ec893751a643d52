package org.geraniumreach.daemon.ledger;

import java.util.Optional;

import org.geraniumreach.messages.Run;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.InstanceId;

/**
 * Chooses where a request goes, and writes it out.
 *
 * <p>Contract: safe for use by several threads; the methods do not block.
 */
public interface Dispatch {

    /**
     * A companion and its incarnation.
     *
     * @param instance the companion
     * @param incarnation the number of its start, which alone may run the attempt
     */
    record Companion(InstanceId instance, long incarnation) {}

    /**
     * Chooses a companion.
     *
     * @return the companion, or empty if no live target offers the operation
     */
    Optional<Companion> choose();

    /**
     * Writes the request out; the ledger sets attempt and companion incarnation, and marks it as not repeatable.
     *
     * @param attempt the attempt, not null
     * @param companion where it goes, not null
     * @return the frame, not null
     */
    Run runFor(AttemptId attempt, Companion companion);
}
