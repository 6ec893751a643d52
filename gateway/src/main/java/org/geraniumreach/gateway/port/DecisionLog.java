package org.geraniumreach.gateway.port;

import org.geraniumreach.model.EventCode;

/**
 * Takes a line for each decision.
 *
 * <p>Contract: never blocks; lines beyond what it can hold are counted and dropped. Safe for use by several threads.
 */
@FunctionalInterface
public interface DecisionLog {

    /**
     * Writes a line.
     *
     * @param event what happened, not null
     * @param subject the id of the request, target or account that it is about, empty for the process, not null
     * @param fields what decided and what came of it, not null
     */
    void write(EventCode event, String subject, Field... fields);

    /**
     * A named value of a line.
     *
     * @param name its name, with the unit where it has one
     * @param value its value, a number, a truth value or a text
     */
    record Field(String name, Object value) {

        /**
         * Obtains a field.
         *
         * @param name its name, not null
         * @param value its value, not null
         * @return the field, not null
         */
        public static Field of(String name, Object value) {
            return new Field(name, value);
        }
    }
}
