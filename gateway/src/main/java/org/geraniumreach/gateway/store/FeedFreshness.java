package org.geraniumreach.gateway.store;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.port.StorePort;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.MonotonicClock;

/**
 * Observes how old the rows of one table are when they are acted on.
 *
 * <p>Invariant: each period in which the rows are older than {@link #MAXIMUM_AGE} is logged at most once. Confined to the event
 * loop.
 */
public final class FeedFreshness implements RowFreshness {

    /** Leaves 0.5 s of the 2 s in which a change must be in force for what follows the decision, up to the write. */
    static final Duration MAXIMUM_AGE = Duration.ofMillis(1_500);

    private final StorePort.Table table;
    private final Feed feed;
    private final Consumer<Duration> ages;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private boolean outdated;

    /** The feed whose rows are observed. */
    public interface Feed {

        /**
         * Gets the time of the latest reading.
         *
         * @return the time by the steady clock, in nanoseconds, empty before the first reading
         */
        OptionalLong readAt();

        /**
         * Queries whether the latest call to the store has failed, after which rows may be old.
         *
         * @return true if it has failed
         */
        boolean hasFailed();
    }

    /**
     * Creates an instance.
     *
     * @param table the table of the rows, not null
     * @param feed the feed of the rows, not null
     * @param ages receives the age of the rows each time they are asked about, not null
     * @param clock the steady clock, not null
     * @param log receives the log entries, not null
     */
    public FeedFreshness(
            StorePort.Table table, Feed feed, Consumer<Duration> ages, MonotonicClock clock, DecisionLog log) {
        this.table = Objects.requireNonNull(table, "table");
        this.feed = Objects.requireNonNull(feed, "feed");
        this.ages = Objects.requireNonNull(ages, "ages");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.log = Objects.requireNonNull(log, "log");
    }

    @Override
    public Optional<Duration> timeUntilNextCheck() {
        OptionalLong readAt = feed.readAt();
        if (readAt.isEmpty()) {
            return Optional.empty();
        }
        Duration age = Duration.ofNanos(clock.nanos() - readAt.getAsLong());
        ages.accept(age);
        if (age.compareTo(MAXIMUM_AGE) <= 0) {
            outdated = false;
        } else if (!feed.hasFailed() && !outdated) {
            outdated = true;
            log.write(EventCode.ROWS_OUTDATED, table.name(), Field.of("ageMillis", age.toMillis()));
        }
        return Optional.empty();
    }
}
