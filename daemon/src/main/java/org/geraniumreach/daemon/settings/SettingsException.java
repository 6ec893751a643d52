package org.geraniumreach.daemon.settings;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Settings that cannot be used, with every mistake in them.
 *
 * <p>Invariant: at least one mistake; no mistake repeats the value of a secret. Immutable.
 */
public final class SettingsException extends Exception {

    private final transient List<Mistake> mistakes;

    /**
     * Makes an exception.
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
     * One mistake.
     *
     * @param path where it is, such as {@code budget.loan}, empty for the whole file
     * @param fault what is wrong, with the value and what is allowed
     */
    public record Mistake(String path, String fault) {

        @Override
        public String toString() {
            return path.isEmpty() ? fault : path + ": " + fault;
        }
    }
}
