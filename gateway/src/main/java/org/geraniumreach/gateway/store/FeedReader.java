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
import org.geraniumreach.gateway.port.StorePort;
import org.geraniumreach.gateway.port.StoreReply;
import org.geraniumreach.gateway.port.Timers;
import org.geraniumreach.model.MonotonicClock;

/**
 * Follows one table of the store: reads it, or takes the updates of another entry that does.
 *
 * <p>Intended for fleets in which many entries need the same rows. A few entries of each failure domain read the store and publish what
 * they find; the others read only while the latest update is older than {@link Pace#maxReadingAge}.
 *
 * <p>Invariants: at most one call is under way; rows are handed out in the order of their versions, each once, whoever read them; an
 * update that does not connect to what is known is not used, and the store is read instead; after a loss of history all is
 * read anew. A call without an answer is given up and made anew on another connection, since a connection may go silent
 * while new ones work. Confined to the event loop.
 *
 * @param <T> what the table holds
 */
public final class FeedReader<T> {

    private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(120);
    private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(500);

    /** One reader that is turned away by the store is no loss for entries that hear from another. */
    private static final Duration MIN_AGE_TO_TRUST_FAILURE = Duration.ofSeconds(1);

    private final StorePort.Table table;
    private final Function<StorePort.StoredRow, Optional<T>> decoder;
    private final Consumer<StorePort.News<T>> listener;
    private final StoreAvailability availability;
    private final Pace timing;
    private final Context context;
    private StorePort.Position position = StorePort.Position.beginning();
    private Optional<Long> requestedAfter = Optional.empty();
    private OptionalLong readAt = OptionalLong.empty();
    private Cancellable call = Cancellable.NOTHING;
    private Cancellable timer = Cancellable.NOTHING;
    private Duration retryDelay = INITIAL_RETRY_DELAY;
    private boolean callInFlight;

    /**
     * The times of a reader.
     *
     * @param longPollWait how long the store may hold an answer back while there is nothing new
     * @param minimumInterval the time from one answer with changes to the next call
     * @param timeout how long nothing of an answer may come, beyond the long poll before its first part
     * @param maxReadingAge the age of the latest reading from which on an entry that is no reader reads itself
     */
    public record Pace(Duration longPollWait, Duration minimumInterval, Duration timeout, Duration maxReadingAge) {

        public Pace {
            if (maxReadingAge.compareTo(longPollWait) <= 0) {
                throw new IllegalArgumentException(
                        "followLimit " + maxReadingAge + " not above longPollWait " + longPollWait);
            }
        }
    }

    /**
     * What all readers of an entry share.
     *
     * @param store the store
     * @param timers runs actions later
     * @param clock the steady clock
     * @param storeClock converts the store's moments
     * @param relay passes updates on
     */
    public record Context(
            StorePort store, Timers timers, MonotonicClock clock, StoreClock storeClock, FeedRelay relay) {

        public Context {
            Objects.requireNonNull(store, "store");
            Objects.requireNonNull(timers, "timers");
            Objects.requireNonNull(clock, "clock");
            Objects.requireNonNull(storeClock, "storeClock");
            Objects.requireNonNull(relay, "relay");
        }
    }

    /**
     * Creates a reader that has not started.
     *
     * @param table what is read, not null
     * @param decoder decodes a row, to empty if it holds nothing of interest, not null
     * @param listener told of changes, not null
     * @param watch told of what came of calls, not null
     * @param pace the times, not null
     * @param context what readers share, not null
     */
    public FeedReader(
            StorePort.Table table,
            Function<StorePort.StoredRow, Optional<T>> decoder,
            Consumer<StorePort.News<T>> listener,
            StoreAvailability watch,
            Pace pace,
            Context context) {
        this.table = Objects.requireNonNull(table, "table");
        this.decoder = Objects.requireNonNull(decoder, "decoder");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.availability = Objects.requireNonNull(watch, "watch");
        this.timing = Objects.requireNonNull(pace, "pace");
        this.context = Objects.requireNonNull(context, "context");
    }

    /** Reads the store now, and goes on from there. */
    public void read() {
        timer.cancel();
        callInFlight = true;
        requestedAfter = position.version();
        restartTimeout(position.longPollWait().plus(timing.timeout()));
        call = context.store().read(table, position, () -> restartTimeout(timing.timeout()), this::onReply);
    }

    /** Guards against a large table that is never read over a slow link because each reading is given up and made anew. */
    private void restartTimeout(Duration limit) {
        timer.cancel();
        timer = context.timers().after(limit, () -> {
            call.cancel();
            onReply(new StoreReply.Unknown<>("nothing of an answer for " + limit.toMillis() + " ms"));
        });
    }

    /**
     * Gets the moment of the latest reading, whoever made it. While changes are handed out, it is still that of the reading before.
     *
     * @return the moment by this process's clock, in nanoseconds, empty before the first reading
     */
    public OptionalLong readAt() {
        return readAt;
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
            position = StorePort.Position.beginning();
            schedule(Duration.ZERO);
            return;
        }
        publishFailure(reply);
        schedule(retryDelay);
        retryDelay = retryDelay.multipliedBy(2).compareTo(MAX_RETRY_DELAY) > 0
                ? MAX_RETRY_DELAY
                : retryDelay.multipliedBy(2);
    }

    private void onPage(StorePort.Page page) {
        retryDelay = INITIAL_RETRY_DELAY;
        publish(page);
        boolean changed = applyPage(page);
        scheduleNext(changed ? timing.minimumInterval() : Duration.ZERO);
    }

    /** Others cannot use a whole table in place of what has changed, but learn from its version that they miss something. */
    private void publish(StorePort.Page page) {
        if (!context.relay().isReader()) {
            return;
        }
        boolean connects = !page.whole() && requestedAfter.isPresent();
        StorePort.Page shown =
                connects ? page : new StorePort.Page(List.of(), page.version(), false, page.storeMillis());
        long after = connects ? requestedAfter.get() : page.version();
        context.relay().publish(new FeedUpdate.Changes(table, after, shown));
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

    private boolean applyPage(StorePort.Page page) {
        long known = position.version().orElse(Long.MIN_VALUE);
        List<T> items = new ArrayList<>();
        for (StorePort.StoredRow row : page.rows()) {
            if (page.whole() || row.version() > known) {
                decoder.apply(row).ifPresent(items::add);
            }
        }
        long reached = Math.max(known, page.version());
        position = new StorePort.Position(Optional.of(reached), timing.longPollWait());
        boolean changed = page.whole() || !items.isEmpty();
        if (changed) {
            listener.accept(new StorePort.News<>(items, reached, page.whole()));
        }
        long moment = context.storeClock().toLocalNanos(page.storeMillis());
        readAt = OptionalLong.of(Math.max(moment, readAt.orElse(moment)));
        return changed;
    }

    /**
     * Takes the update of another entry.
     *
     * @param update the update, of this reader's table, not null
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
        long known = position.version().orElseThrow();
        if (changes.page().version() < known) {
            return;
        }
        if (changes.after() > known) {
            readUnlessReader();
            return;
        }
        applyPage(changes.page());
        if (isFresh(timing.maxReadingAge())) {
            availability.record(new StoreReply.Value<>(changes.page()));
        }
        if (!callInFlight && !context.relay().isReader()) {
            scheduleNext(Duration.ZERO);
        }
    }

    /** Known at the same time as by the reader, so that rows which lapse while the store is away are judged alike by all. */
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
        if (context.relay().isReader() || !isFresh(timing.maxReadingAge())) {
            schedule(delay);
            return;
        }
        long age = context.clock().nanos() - readAt.getAsLong();
        schedule(timing.maxReadingAge().minusNanos(age));
    }

    private void schedule(Duration delay) {
        timer.cancel();
        timer = context.timers().after(delay, this::read);
    }
}
