package org.geraniumreach.daemon.settings;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Thrown if settings are invalid; carries every mistake found.
 *
 * <p>Invariant: there is at least one mistake, and no mistake contains the value of a secret. Immutable.
 */
public final class SettingsException extends Exception {

    private final transient List<Mistake> mistakes;

    /**
     * Creates an exception.
     *
     * @param mistakes the mistakes, at least one, not null
     */
    public SettingsException(List<Mistake> mistakes) {
        super(mistakes.stream().map(Mistake::toString).collect(Collectors.joining("\n")));
        this.mistakes = List.copyOf(mistakes);
    }

    public List<Mistake> mistakes() {
        return mistakes;
    }

    /**
     * One invalid setting or structural error.
     *
     * @param path the path of the setting, such as {@code budget.loan}, empty for the whole file
     * @param fault the error, with the value and the allowed values
     */
    public record Mistake(String path, String fault) {

        @Override
        public String toString() {
            return path.isEmpty() ? fault : path + ": " + fault;
        }
    }
}
