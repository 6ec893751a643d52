package org.geraniumreach.gateway.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Function;

import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.StorePort;
import org.geraniumreach.gateway.port.StoreReply;
import org.geraniumreach.gateway.port.Timers;
import org.geraniumreach.gateway.port.UnexpectedFailure;
import org.geraniumreach.model.MonotonicClock;

/**
 * Follows the changes of one table, by reading the store or by applying updates from another entry that reads it.
 *
 * <p>Intended for fleets in which many entries need the same rows. A few entries of each failure domain, the readers, read
 * the store and publish what they find. The other entries read only while the latest reading is older than
 * {@link Timing#maxReadingAge}.
 *
 * <p>Invariants: at most one call is in flight. Each row version is delivered once and in order of versions, whichever entry
 * has read it. An update that leaves a gap after the known version is not applied; the store is read instead. After a loss of
 * history the whole table is read again. A call without an answer is cancelled and repeated on another connection, since one
 * connection may stall while new ones work. Confined to the event loop.
 *
 * @param <T> the type of decoded rows
 */
public final class FeedReader<T> implements FeedFreshness.Feed {

    private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(120);
    private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(500);

    /** While the latest reading is younger, a reader's failure is ignored: the store may refuse one reader and answer another. */
    private static final Duration MIN_AGE_TO_TRUST_FAILURE = Duration.ofSeconds(1);

    private final StorePort.Table table;
    private final Function<StorePort.StoredRow, Optional<T>> decoder;
    private final Consumer<StorePort.TableUpdate<T>> listener;
    private final StoreAvailability availability;
    private final Timing timing;
    private final Context context;
    private StorePort.Position position = StorePort.Position.start();
    private Optional<Long> requestedAfter = Optional.empty();
    private long requiredVersion = Long.MIN_VALUE;
    private Runnable onRequiredVersionRead = () -> {};
    private OptionalLong readAt = OptionalLong.empty();
    private Cancellable call = Cancellable.NOOP;
    private Cancellable timer = Cancellable.NOOP;
    private Duration retryDelay = INITIAL_RETRY_DELAY;
    private boolean callInFlight;
    private boolean failed;

    /**
     * The intervals and timeouts of a feed reader.
     *
     * @param longPollWait how long the store may delay an answer while there are no changes
     * @param minimumInterval the time between an answer with changes and the next call
     * @param timeout the time allowed between parts of an answer; for the first part, in addition to the long poll
     * @param maxReadingAge the age of the latest reading at which an entry that is not a reader reads the store itself
     */
    public record Timing(Duration longPollWait, Duration minimumInterval, Duration timeout, Duration maxReadingAge) {

        public Timing {
            if (maxReadingAge.compareTo(longPollWait) <= 0) {
                throw new IllegalArgumentException(
                        "maxReadingAge " + maxReadingAge + " not above longPollWait " + longPollWait);
            }
        }
    }

    /**
     * What all feed readers of an entry share.
     *
     * @param store the store
     * @param timers schedules calls and timeouts
     * @param clock the steady clock
     * @param storeClock converts times of the store's clock
     * @param relay publishes updates to other entries
     * @param unreadable records the rows that cannot be read
     * @param log receives the log entries
     */
    public record Context(
            StorePort store,
            Timers timers,
            MonotonicClock clock,
            StoreClock storeClock,
            FeedRelay relay,
            UnreadableRows unreadable,
            DecisionLog log) {

        public Context {
            Objects.requireNonNull(store, "store");
            Objects.requireNonNull(timers, "timers");
            Objects.requireNonNull(clock, "clock");
            Objects.requireNonNull(storeClock, "storeClock");
            Objects.requireNonNull(relay, "relay");
            Objects.requireNonNull(unreadable, "unreadable");
            Objects.requireNonNull(log, "log");
        }
    }

    /**
     * Creates a reader that has not started.
     *
     * @param table the table to follow, not null
     * @param decoder decodes a row, or returns empty to skip it, not null
     * @param listener receives changes, not null
     * @param availability records the results of calls, not null
     * @param timing the intervals and timeouts, not null
     * @param context what all feed readers of the entry share, not null
     */
    public FeedReader(
            StorePort.Table table,
            Function<StorePort.StoredRow, Optional<T>> decoder,
            Consumer<StorePort.TableUpdate<T>> listener,
            StoreAvailability availability,
            Timing timing,
            Context context) {
        this.table = Objects.requireNonNull(table, "table");
        this.decoder = Objects.requireNonNull(decoder, "decoder");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.availability = Objects.requireNonNull(availability, "availability");
        this.timing = Objects.requireNonNull(timing, "timing");
        this.context = Objects.requireNonNull(context, "context");
    }

    /** Reads the store now and schedules all further readings. */
    public void read() {
        timer.cancel();
        callInFlight = true;
        requestedAfter = position.version();
        restartTimeout(position.longPollWait().plus(timing.timeout()));
        call = context.store().read(table, position, () -> restartTimeout(timing.timeout()), this::onReply);
    }

    /**
     * Reads up to a version without a long poll, in place of one that may be in progress.
     *
     * @param version the version of a change that the store has acknowledged
     * @param onRead run once the table has been read up to that version, at once if it has been already, not null
     */
    public void readUpTo(long version, Runnable onRead) {
        if (version() >= version) {
            onRead.run();
            return;
        }
        requiredVersion = version;
        onRequiredVersionRead = Objects.requireNonNull(onRead, "onRead");
        boolean inLongPoll = callInFlight && !position.longPollWait().isZero();
        position = new StorePort.Position(position.version(), Duration.ZERO);
        if (inLongPoll || !callInFlight) {
            call.cancel();
            read();
        }
    }

    /**
     * Gets the version up to which the table is known.
     *
     * @return the version, {@link Long#MIN_VALUE} before the first reading
     */
    public long version() {
        return position.version().orElse(Long.MIN_VALUE);
    }

    /** Each part restarts the timeout: with one for the whole answer, a large table could never be read over a slow link. */
    private void restartTimeout(Duration limit) {
        timer.cancel();
        timer = context.timers().schedule(limit, () -> {
            call.cancel();
            onReply(new StoreReply.Unknown<>("nothing of an answer for " + limit.toMillis() + " ms"));
        });
    }

    /**
     * Gets the time of the latest reading by any entry. While the listener receives changes, this is still the time of the
     * previous reading.
     *
     * @return the time by this process's steady clock, in nanoseconds, empty before the first reading
     */
    @Override
    public OptionalLong readAt() {
        return readAt;
    }

    /** {@inheritDoc} An update of another entry counts as a call that has succeeded. */
    @Override
    public boolean hasFailed() {
        return failed;
    }

    private void onReply(StoreReply<StorePort.Page> reply) {
        timer.cancel();
        callInFlight = false;
        availability.record(reply);
        if (reply instanceof StoreReply.Value<StorePort.Page> value) {
            onPage(value.value());
            return;
        }
        if (reply instanceof StoreReply.HistoryLost<StorePort.Page>) {
            position = StorePort.Position.start();
            schedule(Duration.ZERO);
            return;
        }
        failed = true;
        publishFailure(reply);
        schedule(retryDelay);
        retryDelay = retryDelay.multipliedBy(2).compareTo(MAX_RETRY_DELAY) > 0
                ? MAX_RETRY_DELAY
                : retryDelay.multipliedBy(2);
    }

    private void onPage(StorePort.Page page) {
        failed = false;
        retryDelay = INITIAL_RETRY_DELAY;
        publish(page);
        boolean changed = applyPage(page);
        scheduleNext(changed ? timing.minimumInterval() : Duration.ZERO);
    }

    /**
     * A whole table is published without its rows, since other entries apply only changes; its version shows them what they
     * miss.
     */
    private void publish(StorePort.Page page) {
        if (!context.relay().isReader()) {
            return;
        }
        boolean connects = !page.snapshot() && requestedAfter.isPresent();
        StorePort.Page published =
                connects ? page : new StorePort.Page(List.of(), page.version(), false, page.storeMillis());
        long after = connects ? requestedAfter.get() : page.version();
        context.relay().publish(new FeedUpdate.Changes(table, after, published));
    }

    private void publishFailure(StoreReply<StorePort.Page> reply) {
        if (!context.relay().isReader()) {
            return;
        }
        String reason = reply instanceof StoreReply.Refused<StorePort.Page> refused
                ? refused.reason()
                : ((StoreReply.Unknown<StorePort.Page>) reply).reason();
        context.relay().publish(new FeedUpdate.Unreachable(table, reason));
    }

    /** Decodes a row; one that cannot be decoded must not keep the others from being followed. */
    private Optional<T> decode(StorePort.StoredRow row) {
        context.unreadable().forget(table, row.key());
        try {
            return decoder.apply(row);
        } catch (RuntimeException undecodable) {
            context.unreadable().record(table, row.key(), undecodable.toString());
            return Optional.empty();
        }
    }

    /** Passes an update on; the table is followed further if that fails. */
    private void notifyListener(StorePort.TableUpdate<T> update) {
        try {
            listener.accept(update);
        } catch (RuntimeException failure) {
            UnexpectedFailure.log(context.log(), table.name(), failure);
        }
    }

    private boolean applyPage(StorePort.Page page) {
        long knownVersion = version();
        List<T> items = new ArrayList<>();
        for (StorePort.StoredRow row : page.rows()) {
            if (page.snapshot() || row.version() > knownVersion) {
                decode(row).ifPresent(items::add);
            }
        }
        long newVersion = Math.max(knownVersion, page.version());
        boolean required = newVersion >= requiredVersion;
        position = new StorePort.Position(Optional.of(newVersion), required ? timing.longPollWait() : Duration.ZERO);
        boolean changed = page.snapshot() || !items.isEmpty();
        if (changed) {
            notifyListener(new StorePort.TableUpdate<>(items, newVersion, page.snapshot()));
        }
        long readingTime = context.storeClock().toLocalNanos(page.storeMillis());
        readAt = OptionalLong.of(Math.max(readingTime, readAt.orElse(readingTime)));
        if (required) {
            requiredVersion = Long.MIN_VALUE;
            Runnable onRead = onRequiredVersionRead;
            onRequiredVersionRead = () -> {};
            onRead.run();
        }
        return changed;
    }

    /**
     * Applies an update from another entry. Updates before the first own reading are ignored.
     *
     * @param update the update, which concerns this reader's table, not null
     */
    public void onUpdate(FeedUpdate update) {
        if (position.version().isEmpty()) {
            return;
        }
        if (update instanceof FeedUpdate.Changes changes) {
            onChanges(changes);
        } else if (update instanceof FeedUpdate.Unreachable unreachable) {
            onUnreachable(unreachable);
        }
    }

    private void onChanges(FeedUpdate.Changes changes) {
        long knownVersion = position.version().orElseThrow();
        if (changes.page().version() < knownVersion) {
            return;
        }
        if (changes.after() > knownVersion) {
            readUnlessReader();
            return;
        }
        applyPage(changes.page());
        if (isFresh(timing.maxReadingAge())) {
            failed = false;
            availability.record(new StoreReply.Value<>(changes.page()));
        }
        if (!callInFlight && !context.relay().isReader()) {
            scheduleNext(Duration.ZERO);
        }
    }

    /** Records the loss of the store when the reader does, so that all entries treat rows that expire meanwhile alike. */
    private void onUnreachable(FeedUpdate.Unreachable unreachable) {
        if (context.relay().isReader() || isFresh(MIN_AGE_TO_TRUST_FAILURE)) {
            return;
        }
        availability.record(new StoreReply.Unknown<>("told by a reader: " + unreachable.reason()));
        readUnlessReader();
    }

    private void readUnlessReader() {
        if (!callInFlight && !context.relay().isReader()) {
            read();
        }
    }

    private boolean isFresh(Duration limit) {
        return readAt.isPresent() && context.clock().nanos() - readAt.getAsLong() < limit.toNanos();
    }

    private void scheduleNext(Duration delay) {
        if (version() < requiredVersion) {
            schedule(INITIAL_RETRY_DELAY);
            return;
        }
        if (context.relay().isReader() || !isFresh(timing.maxReadingAge())) {
            schedule(delay);
            return;
        }
        long age = context.clock().nanos() - readAt.getAsLong();
        schedule(timing.maxReadingAge().minusNanos(age));
    }

    private void schedule(Duration delay) {
        timer.cancel();
        timer = context.timers().schedule(delay, this::read);
    }
}
