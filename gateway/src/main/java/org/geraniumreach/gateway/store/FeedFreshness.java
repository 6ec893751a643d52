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
 * Lets the rows of one table be acted on while they are fresh, or as long as the store is away.
 *
 * <p>Rows that are older than {@link #MAXIMUM_AGE} may not be acted on while a call to the store is still to be answered.
 * Invariants: this lasts until the call has succeeded or failed, at most for {@link #MAXIMUM_HOLD} of the time in which the process runs,
 * and each such period is logged once when it begins, and once if rows are acted on in it. Confined to the event loop.
 */
public final class FeedFreshness implements RowFreshness {

    /** Leaves 0.2 s of the 2 s in which a change must be in force for the way to the target, as the age is asked at the write. */
    static final Duration MAXIMUM_AGE = Duration.ofMillis(1_800);

    /** Several times what an answer takes over another connection; a store that takes longer must not delay all requests. */
    static final Duration MAXIMUM_HOLD = Duration.ofMillis(500);

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(20);

    /** Time between two checks that is longer does not count as a hold, since the process stood still or nothing was held. */
    private static final Duration MAXIMUM_CHECK_GAP = Duration.ofMillis(200);

    private final StorePort.Table table;
    private final Feed feed;
    private final Consumer<Duration> ages;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private State state = State.FRESH;
    private long checkedAt;
    private Duration held = Duration.ZERO;

    /** Whether the rows may be acted on, as of the latest check; the result in the log. */
    enum State {
        /** The rows are fresh, or the store is away. */
        FRESH,
        /** Requests wait for a reading. */
        HELD,
        /** Requests have waited for too long, and old rows are acted on. */
        ACTED
    }

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

        /** Reads the rows now, unless a call is in flight. */
        void requestReading();
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
        if (age.compareTo(MAXIMUM_AGE) <= 0 || feed.hasFailed()) {
            state = State.FRESH;
            return Optional.empty();
        }
        feed.requestReading();
        hold(age);
        return state == State.HELD ? Optional.of(CHECK_INTERVAL) : Optional.empty();
    }

    private void hold(Duration age) {
        long now = clock.nanos();
        Duration sinceCheck = Duration.ofNanos(now - checkedAt);
        checkedAt = now;
        if (state == State.FRESH) {
            held = Duration.ZERO;
            enter(State.HELD, age);
        } else if (state == State.HELD) {
            held = sinceCheck.compareTo(MAXIMUM_CHECK_GAP) > 0 ? held : held.plus(sinceCheck);
            if (held.compareTo(MAXIMUM_HOLD) >= 0) {
                enter(State.ACTED, age);
            }
        }
    }

    private void enter(State next, Duration age) {
        state = next;
        log.write(
                EventCode.ROWS_OUTDATED, table.name(), Field.of("result", next), Field.of("ageMillis", age.toMillis()));
    }
}
