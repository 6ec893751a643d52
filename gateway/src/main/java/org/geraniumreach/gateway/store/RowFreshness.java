package org.geraniumreach.gateway.store;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Decides whether what is known of the store's rows may be acted on.
 *
 * <p>Implementations are confined to the event loop.
 */
@FunctionalInterface
public interface RowFreshness {

    /**
     * Queries whether the rows may be acted on now.
     *
     * @return the time after which to ask again if they may not, empty if they may, not null
     */
    Optional<Duration> timeUntilNextCheck();

    /**
     * Obtains an instance by which rows may always be acted on.
     *
     * @return the instance, not null
     */
    static RowFreshness always() {
        return Optional::empty;
    }

    /**
     * Combines this instance with another; rows may be acted on if both allow it.
     *
     * @param other the other instance, which is always asked, not null
     * @return the combination, not null
     */
    default RowFreshness and(RowFreshness other) {
        Objects.requireNonNull(other, "other");
        return () -> {
            Optional<Duration> mine = timeUntilNextCheck();
            Optional<Duration> others = other.timeUntilNextCheck();
            return mine.isPresent() ? mine : others;
        };
    }
}
