package org.geraniumreach.gateway.port;

import org.geraniumreach.model.EventCode;

/**
 * Writes a log line for each decision.
 *
 * <p>Contract: never blocks; lines that do not fit into its buffer are dropped and counted. Retained lines have a buffer of their own,
 * so that no number of other lines displaces them. Safe for use by several threads.
 */
@FunctionalInterface
public interface DecisionLog {

    /**
     * Writes a line.
     *
     * @param event the event, not null
     * @param subject the id of the request, target or account concerned, empty for the process, not null
     * @param fields the grounds and the result of the decision, not null
     */
    void write(EventCode event, String subject, Field... fields);

    /**
     * Writes a line that is needed to tell what happened to a request that was written more than once.
     *
     * @param event the event, not null
     * @param subject the id of the request concerned, not null
     * @param fields the grounds and the result of the decision, not null
     */
    default void writeRetained(EventCode event, String subject, Field... fields) {
        write(event, subject, fields);
    }

    /**
     * Writes a line that is retained only under a condition.
     *
     * @param retained whether it is retained
     * @param event the event, not null
     * @param subject the id of the request concerned, not null
     * @param fields the grounds and the result of the decision, not null
     */
    default void writeRetainedIf(boolean retained, EventCode event, String subject, Field... fields) {
        if (retained) {
            writeRetained(event, subject, fields);
        } else {
            write(event, subject, fields);
        }
    }

    /**
     * A named value of a line.
     *
     * @param name the name, which includes the unit if there is one
     * @param value the value: a number, a boolean or a string
     */
    record Field(String name, Object value) {

        /**
         * Obtains a field.
         *
         * @param name the name, not null
         * @param value the value, not null
         * @return the field, not null
         */
        public static Field of(String name, Object value) {
            return new Field(name, value);
        }
    }
}
