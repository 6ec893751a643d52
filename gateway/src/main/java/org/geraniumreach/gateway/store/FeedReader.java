package org.geraniumreach.gateway.store;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.StorePort;
import org.geraniumreach.gateway.port.StoreReply;
import org.geraniumreach.gateway.port.Timers;

/**
 * Reads the news of one table for ever.
 *
 * <p>Invariants: one call is under way at a time; news are handed out in the order of the store; after a loss of history all is read
 * anew, so nothing is missed. A call that has not answered in time is given up and made anew on another connection, since
 * a connection may have gone silent while new ones work. Confined to the event loop.
 *
 * @param <T> what the table holds
 */
public final class FeedReader<T> {

    private static final Duration FIRST_PAUSE = Duration.ofMillis(120);
    private static final Duration LONGEST_PAUSE = Duration.ofMillis(500);

    private final Source<T> source;
    private final Consumer<StorePort.News<T>> listener;
    private final StoreWatch watch;
    private final Timers timers;
    private final Pace pace;
    private StorePort.Position position = StorePort.Position.beginning();
    private Cancellable call = Cancellable.NOTHING;
    private Cancellable timer = Cancellable.NOTHING;
    private Duration pause = FIRST_PAUSE;

    /**
     * Makes the calls.
     *
     * @param <T> what the table holds
     */
    @FunctionalInterface
    public interface Source<T> {

        /**
         * Reads news.
         *
         * @param position where the reader stands, not null
         * @param reply told of the news, not null
         * @return calls it off, not null
         */
        Cancellable read(StorePort.Position position, Consumer<StoreReply<StorePort.News<T>>> reply);
    }

    /**
     * The times of a reader.
     *
     * @param patience how long the store may hold an answer back while there is nothing new
     * @param rest the time from one answer with news to the next call
     * @param limit how long an answer may take beyond the patience
     */
    public record Pace(Duration patience, Duration rest, Duration limit) {}

    /**
     * Makes a reader that has not begun.
     *
     * @param source makes the calls, not null
     * @param listener told of news, not null
     * @param watch told of what came of calls, not null
     * @param timers runs actions later, not null
     * @param pace the times, not null
     */
    public FeedReader(
            Source<T> source, Consumer<StorePort.News<T>> listener, StoreWatch watch, Timers timers, Pace pace) {
        this.source = Objects.requireNonNull(source, "source");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.watch = Objects.requireNonNull(watch, "watch");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.pace = Objects.requireNonNull(pace, "pace");
    }

    /** Reads on from where the reader stands. */
    public void read() {
        Duration limit = position.patience().plus(pace.limit());
        timer = timers.after(limit, () -> {
            call.cancel();
            took(new StoreReply.Unknown<>("no answer within " + limit.toMillis() + " ms"));
        });
        call = source.read(position, this::took);
    }

    private void took(StoreReply<StorePort.News<T>> reply) {
        timer.cancel();
        watch.noted(reply);
        if (reply instanceof StoreReply.Value<StorePort.News<T>> value) {
            pause = FIRST_PAUSE;
            position = new StorePort.Position(Optional.of(value.value().version()), pace.patience());
            boolean news = value.value().whole() || !value.value().items().isEmpty();
            if (news) {
                listener.accept(value.value());
            }
            again(news ? pace.rest() : Duration.ZERO);
            return;
        }
        if (reply instanceof StoreReply.HistoryLost<StorePort.News<T>>) {
            position = StorePort.Position.beginning();
            again(Duration.ZERO);
            return;
        }
        again(pause);
        pause = pause.multipliedBy(2).compareTo(LONGEST_PAUSE) > 0 ? LONGEST_PAUSE : pause.multipliedBy(2);
    }

    private void again(Duration delay) {
        timer = timers.after(delay, this::read);
    }
}
