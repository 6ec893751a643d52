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
 * <p>The wait of a long poll ends before the latest reading is that old, and a call that has not been answered by then is repeated
 * beside it over another connection, so that a stalled connection or a reader that sends nothing does not hide a change for
 * longer.
 *
 * <p>Invariants: at most one call is in flight, and one that repeats it. Each row version is delivered once and in order of versions, whichever entry
 * has read it. An update that leaves a gap after the known version is not applied; the store is read instead. After a loss of
 * history the whole table is read again. A timer that has run late is no proof that an answer is missing, since the answer may wait
 * behind it. Confined to the event loop.
 *
 * @param <T> the type of decoded rows
 */
public final class FeedReader<T> implements FeedFreshness.Feed {

    private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(120);
    private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(500);

    /** While the latest reading is younger, a reader's failure is ignored: the store may refuse one reader and answer another. */
    private static final Duration MIN_AGE_TO_TRUST_FAILURE = Duration.ofSeconds(1);

    /** The time that the store's answer takes if nothing is wrong, with a margin. */
    private static final Duration ANSWER_TIME = Duration.ofMillis(150);

    /** Bounds the rate of calls if the store's clock makes all readings look old. */
    private static final Duration MAX_TIME_IN_TRANSIT = Duration.ofMillis(800);

    private static final Duration CONFIRMATION_TIME = Duration.ofMillis(20);

    /** Bounds the delay of a timeout in an event loop that is always late. */
    private static final int MAX_LATE_CONFIRMATIONS = 2;

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
    private long receivedAt;
    private Cancellable call = Cancellable.NOOP;
    private Cancellable secondCall = Cancellable.NOOP;
    private Cancellable secondCallTimer = Cancellable.NOOP;
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
     * @param maxReadingAge the age of the latest reading at which an entry that is not a reader reads the store itself, and at which a
     *     call that has not been answered is repeated
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
        Duration wait = longPollWait();
        restartTimeout(position.longPollWait().plus(timing.timeout()));
        scheduleSecondCall(wait);
        call = call(wait, () -> call = Cancellable.NOOP);
    }

    private Cancellable call(Duration wait, Runnable onEnded) {
        Optional<Long> after = position.version();
        return context.store().read(table, new StorePort.Position(after, wait), this::onProgress, reply -> {
            onEnded.run();
            requestedAfter = after;
            onCallEnded(reply);
        });
    }

    /** {@inheritDoc} Has no effect while a call is in flight. */
    @Override
    public void requestReading() {
        if (!callInFlight) {
            read();
        }
    }

    private Duration longPollWait() {
        return readAt.isEmpty()
                ? position.longPollWait()
                : shorter(
                        position.longPollWait(),
                        notNegative(timing.maxReadingAge().minus(ANSWER_TIME).minus(boundedAge())));
    }

    /** Repeats only a call for changes, since a whole table may take long. */
    private void scheduleSecondCall(Duration wait) {
        secondCallTimer.cancel();
        if (readAt.isEmpty() || position.version().isEmpty() || failed) {
            return;
        }
        Duration untilTooOld = timing.maxReadingAge().minus(boundedAge());
        Duration untilOverdue = wait.plus(ANSWER_TIME);
        secondCallTimer = scheduleBehindAnswers(
                untilTooOld.compareTo(untilOverdue) > 0 ? untilTooOld : untilOverdue, this::repeatCall);
    }

    private void repeatCall() {
        secondCall = call(Duration.ZERO, () -> secondCall = Cancellable.NOOP);
    }

    /** Schedules an action; answers that have come before its time are handled first, also if the event loop runs late. */
    private Cancellable scheduleBehindAnswers(Duration delay, Runnable action) {
        return new ConfirmedTimer(delay, action);
    }

    /**
     * A timer that runs its action only after a short further timer has been on time, as an event loop that has stood still may run timers
     * before what it has received meanwhile.
     */
    private final class ConfirmedTimer implements Cancellable {
        private final Runnable action;
        private Cancellable current;
        private int lateConfirmations;

        private ConfirmedTimer(Duration delay, Runnable action) {
            this.action = action;
            current = context.timers().schedule(notNegative(delay.minus(CONFIRMATION_TIME)), this::confirm);
        }

        private void confirm() {
            long due = context.clock().nanos() + CONFIRMATION_TIME.toNanos();
            current = context.timers().schedule(CONFIRMATION_TIME, () -> {
                boolean late = context.clock().nanos() - due >= CONFIRMATION_TIME.toNanos();
                if (late && lateConfirmations < MAX_LATE_CONFIRMATIONS) {
                    lateConfirmations++;
                    confirm();
                } else {
                    action.run();
                }
            });
        }

        @Override
        public void cancel() {
            current.cancel();
        }
    }

    private void onProgress() {
        secondCallTimer.cancel();
        restartTimeout(timing.timeout());
    }

    /** Ignores a failure while the other call may still be answered. */
    private void onCallEnded(StoreReply<StorePort.Page> reply) {
        boolean answered = reply instanceof StoreReply.Value<StorePort.Page>
                || reply instanceof StoreReply.HistoryLost<StorePort.Page>;
        boolean isOtherInFlight = call != Cancellable.NOOP || secondCall != Cancellable.NOOP;
        if (answered || !isOtherInFlight) {
            cancelCalls();
            onReply(reply);
        }
    }

    private void cancelCalls() {
        secondCallTimer.cancel();
        call.cancel();
        secondCall.cancel();
        call = Cancellable.NOOP;
        secondCall = Cancellable.NOOP;
    }

    private static Duration shorter(Duration one, Duration other) {
        return one.compareTo(other) < 0 ? one : other;
    }

    private static Duration notNegative(Duration duration) {
        return duration.isNegative() ? Duration.ZERO : duration;
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
            cancelCalls();
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
        timer = scheduleBehindAnswers(limit, () -> {
            cancelCalls();
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
        receivedAt = context.clock().nanos();
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

    /** Gets the age of the latest reading, of which the time until it was received counts in part only. */
    private Duration boundedAge() {
        long from = Math.max(readAt.orElse(Long.MIN_VALUE), receivedAt - MAX_TIME_IN_TRANSIT.toNanos());
        return Duration.ofNanos(context.clock().nanos() - from);
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
            schedule(notNegative(delay.minus(boundedAge())));
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
