package org.geraniumreach.gateway.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Function;

import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.StorePort;
import org.geraniumreach.gateway.port.StoreReply;
import org.geraniumreach.gateway.testing.VirtualTime;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.table.Transaction;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class FeedReaderTest {

    private static final FeedReader.Timing TIMING = new FeedReader.Timing(
            Duration.ofSeconds(1), Duration.ofMillis(200), Duration.ofMillis(500), Duration.ofMillis(1_500));
    private static final StorePort.Table TABLE = StorePort.Table.TARGETS;
    private static final long STORE_CLOCK_OFFSET_MILLIS = 77_000;

    private final VirtualTime time = new VirtualTime();
    private final List<StorePort.Position> requestedPositions = new ArrayList<>();
    private final List<Consumer<StoreReply<StorePort.Page>>> replies = new ArrayList<>();
    private final List<String> receivedItems = new ArrayList<>();
    private final List<FeedUpdate> published = new ArrayList<>();
    private final StoreAvailability availability = new StoreAvailability(time, (event, id, fields) -> {}, "");
    private final List<EventCode> logged = new ArrayList<>();
    private final UnreadableRows unreadable = new UnreadableRows((event, id, fields) -> logged.add(event));
    private Function<StorePort.StoredRow, Optional<String>> decoder = StorePort.StoredRow::value;
    private Runnable afterItems = () -> {};
    private FeedReader<String> reader;
    private boolean isReader = true;
    private Runnable onProgress = () -> {};
    private int cancelledCalls;

    @BeforeEach
    void startReader() {
        FeedRelay relay = new FeedRelay() {
            @Override
            public boolean isReader() {
                return isReader;
            }

            @Override
            public void publish(FeedUpdate update) {
                published.add(update);
            }
        };
        reader = new FeedReader<>(
                TABLE,
                row -> decoder.apply(row),
                changes -> {
                    receivedItems.addAll(changes.items());
                    afterItems.run();
                },
                availability,
                TIMING,
                new FeedReader.Context(
                        new RecordingStore(),
                        time,
                        time,
                        new StoreClock(time),
                        relay,
                        unreadable,
                        (event, id, fields) -> logged.add(event)));
        reader.read();
    }

    private void reply(StoreReply<StorePort.Page> reply) {
        replies.get(replies.size() - 1).accept(reply);
    }

    private long storeMillis() {
        return time.nanos() / 1_000_000 + STORE_CLOCK_OFFSET_MILLIS;
    }

    private StoreReply<StorePort.Page> pageReply(String item, long version) {
        return new StoreReply.Value<>(page(item, version, storeMillis()));
    }

    private static StorePort.Page page(String item, long version, long storeMillis) {
        return new StorePort.Page(
                List.of(new StorePort.StoredRow(item, version, Optional.of(item))), version, false, storeMillis);
    }

    private StorePort.Page emptyPage(long version) {
        return new StorePort.Page(List.of(), version, false, storeMillis());
    }

    private void deliverUpdate(long after, StorePort.Page page) {
        reader.onUpdate(new FeedUpdate.Changes(TABLE, after, page));
    }

    /** Reads everything up to version 7, then stops being a reader. */
    private void becomeFollower() {
        isReader = false;
        reply(pageReply("a", 7));
    }

    /** Guards against an owner that waits for the end of a long poll before it knows what it owns. */
    @Test
    void aReadingUpToAVersionTakesThePlaceOfALongPoll() {
        reply(pageReply("a", 7));
        time.advance(Duration.ofMillis(200));
        AtomicInteger read = new AtomicInteger();
        reader.readUpTo(9, read::incrementAndGet);
        assertThat(cancelledCalls).isEqualTo(1);
        assertThat(requestedPositions.get(2)).isEqualTo(new StorePort.Position(Optional.of(7L), Duration.ZERO));
        assertThat(read).hasValue(0);
        reply(new StoreReply.Value<>(emptyPage(9)));
        assertThat(read).hasValue(1);
        time.advance(Duration.ZERO);
        assertThat(requestedPositions.get(3).longPollWait()).isEqualTo(TIMING.longPollWait());
    }

    /** Guards against an answer that was sent before the change, or that holds only the first of the rows. */
    @Test
    void aReadingUpToAVersionGoesOnUntilItIsReached() {
        reply(pageReply("a", 7));
        time.advance(Duration.ofMillis(200));
        AtomicInteger read = new AtomicInteger();
        reader.readUpTo(9, read::incrementAndGet);
        reply(pageReply("b", 8));
        assertThat(read).hasValue(0);
        time.advance(Duration.ofMillis(200));
        reply(new StoreReply.Unknown<>("no answer"));
        time.advance(Duration.ofMillis(600));
        assertThat(requestedPositions.get(4)).isEqualTo(new StorePort.Position(Optional.of(8L), Duration.ZERO));
        reply(new StoreReply.Value<>(emptyPage(9)));
        assertThat(read).hasValue(1);
    }

    @Test
    void aVersionThatIsKnownOrComesAsAnUpdateIsNotRead() {
        becomeFollower();
        AtomicInteger read = new AtomicInteger();
        reader.readUpTo(7, read::incrementAndGet);
        assertThat(read).hasValue(1);
        reader.readUpTo(9, read::incrementAndGet);
        deliverUpdate(7, emptyPage(9));
        assertThat(read).hasValue(2);
    }

    /** Guards against a row that cannot be decoded, after which the table is not followed any more. */
    @Test
    void aRowThatCannotBeDecodedIsLeftOutUntilItChanges() {
        decoder = row -> {
            if (row.key().equals("odd") && row.version() == 8) {
                throw new IllegalStateException("odd");
            }
            return row.value();
        };
        reply(pageReply("a", 7));
        time.advance(Duration.ofMillis(200));
        reply(new StoreReply.Value<>(new StorePort.Page(
                List.of(
                        new StorePort.StoredRow("odd", 8, Optional.of("odd")),
                        new StorePort.StoredRow("b", 8, Optional.of("b"))),
                8,
                false,
                storeMillis())));
        assertThat(unreadable.count()).isEqualTo(1);
        assertThat(logged).containsExactly(EventCode.ROW_UNREADABLE);
        time.advance(Duration.ofMillis(200));
        reply(pageReply("odd", 9));
        assertThat(receivedItems).containsExactly("a", "b", "odd");
        assertThat(unreadable.count()).isZero();
    }

    /** Guards against a failure to apply an update, after which the table is not followed any more. */
    @Test
    void aTableIsFollowedAfterAnUpdateThatCannotBeApplied() {
        afterItems = () -> {
            throw new IllegalStateException("cannot be applied");
        };
        reply(pageReply("a", 7));
        time.advance(Duration.ofMillis(200));
        assertThat(logged).containsExactly(EventCode.UNEXPECTED_FAILURE);
        afterItems = () -> {};
        reply(pageReply("b", 8));
        assertThat(receivedItems).containsExactly("a", "b");
    }

    @Test
    void continuesFromTheLastVersion() {
        reply(pageReply("a", 7));
        time.advance(Duration.ofMillis(200));
        assertThat(requestedPositions.get(1).version()).isEqualTo(Optional.of(7L));
        assertThat(receivedItems).containsExactly("a");
    }

    /** Guards against a withdrawn key that stays valid because the store has discarded the change from its history. */
    @Test
    void rereadsTheTableAfterHistoryLoss() {
        reply(pageReply("a", 7));
        time.advance(Duration.ofMillis(200));
        reply(new StoreReply.HistoryLost<>());
        time.advance(Duration.ZERO);
        assertThat(requestedPositions.get(2).version()).isEmpty();
    }

    /** Guards against never loading a configuration that takes longer to read than the timeout. */
    @Test
    void progressRestartsTheTimeout() {
        for (int part = 0; part < 20; part++) {
            time.advance(Duration.ofMillis(400));
            onProgress.run();
        }
        assertThat(cancelledCalls).isZero();
        assertThat(requestedPositions).hasSize(1);
        time.advance(Duration.ofMillis(501));
        assertThat(cancelledCalls).isEqualTo(1);
    }

    /** Guards against missing changes because the connection to the store has stalled. */
    @Test
    void retriesACallThatTimesOut() {
        reply(pageReply("a", 7));
        time.advance(Duration.ofMillis(200));
        time.advance(Duration.ofMillis(1_501));
        assertThat(requestedPositions).hasSize(3);
        assertThat(cancelledCalls).isEqualTo(2);
        assertThat(availability.isUnreachable()).isTrue();
        time.advance(Duration.ofMillis(600));
        assertThat(requestedPositions).hasSize(4);
        reply(pageReply("b", 8));
        assertThat(availability.isUnreachable()).isFalse();
        assertThat(receivedItems).containsExactly("a", "b");
    }

    /** Guards against missing changes, and against taking the store for away, because one connection has stalled. */
    @Test
    void repeatsACallWithoutAnAnswerBesideIt() {
        reply(pageReply("a", 7));
        time.advance(Duration.ofMillis(200));
        time.advance(Duration.ofMillis(1_299));
        assertThat(requestedPositions).hasSize(2);
        time.advance(Duration.ofMillis(1));
        assertThat(requestedPositions.get(2)).isEqualTo(new StorePort.Position(Optional.of(7L), Duration.ZERO));
        assertThat(cancelledCalls).isZero();
        reply(pageReply("b", 8));
        assertThat(cancelledCalls).isEqualTo(1);
        assertThat(receivedItems).containsExactly("a", "b");
        assertThat(availability.isUnreachable()).isFalse();
    }

    /** Guards against a refused repetition that hides the answer to the call itself, or the other way round. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void theFailureOfOneOfTwoCallsIsIgnored(int failing) {
        reply(pageReply("a", 7));
        time.advance(Duration.ofMillis(1_500));
        replies.get(failing).accept(new StoreReply.Refused<>("status 429"));
        assertThat(availability.isUnreachable()).isFalse();
        replies.get(3 - failing).accept(pageReply("b", 8));
        assertThat(receivedItems).containsExactly("a", "b");
        assertThat(cancelledCalls).isZero();
    }

    /** Guards against an entry that takes its own backlog for an outage of the store, since a timer runs before the answer. */
    @Test
    void anAnswerThatWaitsBehindALateTimerIsNotMissed() {
        reply(pageReply("a", 7));
        time.advance(Duration.ofMillis(200));
        time.suspend(Duration.ofMillis(2_000));
        reply(pageReply("b", 8));
        assertThat(requestedPositions).hasSize(2);
        assertThat(availability.isUnreachable()).isFalse();
        assertThat(receivedItems).containsExactly("a", "b");
    }

    /** Guards against readings that are further apart because timers run late. */
    @Test
    void aLateTimerShortensTheLongPollAndALateAnswerTheInterval() {
        reply(pageReply("a", 7));
        time.suspend(Duration.ofMillis(900));
        assertThat(requestedPositions.get(1).longPollWait()).isEqualTo(Duration.ofMillis(450));
        long readMillis = storeMillis();
        time.stall(Duration.ofMillis(150));
        reply(new StoreReply.Value<>(page("b", 8, readMillis)));
        time.advance(Duration.ofMillis(49));
        assertThat(requestedPositions).hasSize(2);
        time.advance(Duration.ofMillis(1));
        assertThat(requestedPositions).hasSize(3);
    }

    @Test
    void backsOffWhileTheStoreRefuses() {
        for (int second = 0; second < 10; second++) {
            reply(new StoreReply.Refused<>("status 503"));
            time.advance(Duration.ofMillis(500));
        }
        assertThat(requestedPositions.size()).isLessThanOrEqualTo(13);
    }

    @Test
    void readerPublishesChangesAndFailures() {
        reply(new StoreReply.Value<>(new StorePort.Page(
                List.of(new StorePort.StoredRow("a", 3, Optional.of("a"))), 7, true, storeMillis())));
        time.advance(Duration.ofMillis(200));
        reply(pageReply("b", 8));
        time.advance(Duration.ofMillis(200));
        reply(new StoreReply.Refused<>("status 503"));
        assertThat(published).hasSize(3);
        assertThat(published.get(0))
                .isEqualTo(
                        new FeedUpdate.Changes(TABLE, 7, new StorePort.Page(List.of(), 7, false, storeMillis() - 400)));
        assertThat(((FeedUpdate.Changes) published.get(1)).after()).isEqualTo(7);
        assertThat(published.get(2)).isEqualTo(new FeedUpdate.Unreachable(TABLE, "status 503"));
    }

    @Test
    void followerDoesNotReadWhileUpdatesArrive() {
        becomeFollower();
        for (int update = 0; update < 20; update++) {
            time.advance(Duration.ofMillis(700));
            deliverUpdate(7 + update, page("u" + update, 8 + update, storeMillis()));
        }
        assertThat(requestedPositions).hasSize(1);
        assertThat(published).isEmpty();
        assertThat(receivedItems).hasSize(21).endsWith("u19");
    }

    /** Guards against missing changes because the readers were killed, frozen or cut off. */
    @Test
    void followerReadsWhenTheLatestReadingIsTooOld() {
        becomeFollower();
        time.advance(Duration.ofMillis(1_000));
        deliverUpdate(7, emptyPage(7));
        time.advance(Duration.ofMillis(1_499));
        assertThat(requestedPositions).hasSize(1);
        time.advance(Duration.ofMillis(1));
        assertThat(requestedPositions).hasSize(2);
        assertThat(requestedPositions.get(1).version()).contains(7L);
    }

    /** Guards against treating old rows as current because a link delayed them. */
    @Test
    void delayedUpdateDoesNotPostponeTheNextReading() {
        becomeFollower();
        long readMillis = storeMillis();
        time.advance(Duration.ofMillis(1_400));
        deliverUpdate(7, page("late", 8, readMillis));
        assertThat(receivedItems).containsExactly("a", "late");
        time.advance(Duration.ofMillis(100));
        assertThat(requestedPositions).hasSize(2);
    }

    /**
     * Guards against a lost change: an update that leaves a gap after the known version is not applied, and the store is
     * read.
     */
    @Test
    void followerReadsAfterAMissedUpdate() {
        becomeFollower();
        deliverUpdate(9, page("d", 10, storeMillis()));
        assertThat(receivedItems).containsExactly("a");
        assertThat(requestedPositions).hasSize(2);
        assertThat(requestedPositions.get(1).version()).contains(7L);
    }

    /** Guards against applying an older row, or a row twice, because two readers are at different versions. */
    @Test
    void appliesEachRowOnceWhenReadersOverlap() {
        becomeFollower();
        deliverUpdate(7, page("b", 9, storeMillis()));
        deliverUpdate(7, page("old", 8, storeMillis()));
        StorePort.Page overlappingPage = new StorePort.Page(
                List.of(
                        new StorePort.StoredRow("b", 9, Optional.of("b")),
                        new StorePort.StoredRow("c", 10, Optional.of("c"))),
                10,
                false,
                storeMillis());
        deliverUpdate(8, overlappingPage);
        assertThat(receivedItems).containsExactly("a", "b", "c");
    }

    /** Guards against using rows that expire while the store is unreachable because an entry has not noticed the loss. */
    @Test
    void readerFailureMarksTheStoreUnreachableAndTriggersAReading() {
        becomeFollower();
        time.advance(Duration.ofMillis(1_100));
        reader.onUpdate(new FeedUpdate.Unreachable(TABLE, "status 503"));
        assertThat(availability.isUnreachable()).isTrue();
        assertThat(requestedPositions).hasSize(2);
        reply(pageReply("b", 8));
        assertThat(availability.isUnreachable()).isFalse();
    }

    /** Guards against needless calls to the store because one of two readers is cut off from it. */
    @Test
    void oneReadersFailureIsIgnoredWhileAnotherReads() {
        becomeFollower();
        for (int update = 0; update < 20; update++) {
            time.advance(Duration.ofMillis(400));
            deliverUpdate(7, emptyPage(7));
            time.advance(Duration.ofMillis(300));
            reader.onUpdate(new FeedUpdate.Unreachable(TABLE, "status 503"));
        }
        assertThat(availability.isUnreachable()).isFalse();
        assertThat(requestedPositions).hasSize(1);
    }

    @Test
    void followerThatBecomesAReaderContinuesReading() {
        becomeFollower();
        time.advance(Duration.ofMillis(500));
        deliverUpdate(7, emptyPage(7));
        isReader = true;
        time.advance(Duration.ofMillis(1_500));
        reply(pageReply("b", 8));
        time.advance(Duration.ofMillis(200));
        assertThat(requestedPositions).hasSize(3);
        assertThat(published).hasSize(1);
    }

    /** Guards against readings that look current permanently because the process was frozen while the store's clock ran. */
    @ParameterizedTest
    @ValueSource(longs = {3_000, 30_000})
    void processFreezeDoesNotMakeOldReadingsLookFresh(long frozenMillis) {
        becomeFollower();
        time.advance(Duration.ofMillis(100));
        deliverUpdate(7, new StorePort.Page(List.of(), 7, false, storeMillis() + frozenMillis));
        long delayedReadingMillis = storeMillis() + frozenMillis;
        time.advance(Duration.ofMillis(1_400));
        deliverUpdate(7, new StorePort.Page(List.of(), 7, false, delayedReadingMillis));
        time.advance(Duration.ofMillis(100));
        assertThat(requestedPositions).hasSize(2);
    }

    private final class RecordingStore implements StorePort {

        @Override
        public Cancellable read(
                Table table, Position position, Runnable progressCallback, Consumer<StoreReply<Page>> onReply) {
            onProgress = progressCallback;
            assertThat(table).isEqualTo(TABLE);
            requestedPositions.add(position);
            replies.add(onReply);
            return () -> cancelledCalls++;
        }

        @Override
        public Cancellable commit(Transaction transaction, Consumer<StoreReply<CommitResult>> onReply) {
            throw new UnsupportedOperationException("this store is read only");
        }
    }
}
