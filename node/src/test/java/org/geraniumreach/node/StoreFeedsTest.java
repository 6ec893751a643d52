package org.geraniumreach.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.StorePort;
import org.geraniumreach.gateway.port.StoreReply;
import org.geraniumreach.gateway.store.FeedReader;
import org.geraniumreach.gateway.store.FeedRelay;
import org.geraniumreach.gateway.store.FeedUpdate;
import org.geraniumreach.gateway.store.ReaderSelection;
import org.geraniumreach.gateway.store.StoreAvailability;
import org.geraniumreach.gateway.store.StoreClock;
import org.geraniumreach.gateway.store.UnreadableRows;
import org.geraniumreach.gateway.testing.VirtualTime;
import org.geraniumreach.model.table.Transaction;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Entries of one failure domain that follow the rows of a store, in virtual time and with the intervals of a real entry. */
class StoreFeedsTest {

    /** By then a change is known, or requests wait, so that the rest of the 2 s is left for the way to the target. */
    private static final Duration TIME_TO_ACT = Duration.ofMillis(1_820);

    private static final Duration NETWORK_DELAY = Duration.ofMillis(2);
    private static final Duration WARM_UP = Duration.ofSeconds(5);
    private static final Duration HEARTBEATS_OF_MANY_TARGETS = Duration.ofMillis(60);
    private static final Duration NO_HEARTBEATS = Duration.ofHours(1);
    private static final String OPERATOR_KEY_PREFIX = "version/";
    private static final int PHASE_COUNT = 10;
    private static final int PHASE_MILLIS = 190;
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(20);
    private static final Duration OBSERVED_TIME = Duration.ofSeconds(60);

    /** What goes wrong just before a change. */
    enum Trouble {
        NONE,
        READERS_SILENT,
        CALLS_STALL,
        READERS_SILENT_AND_CALLS_STALL;

        private boolean silencesReaders() {
            return this == READERS_SILENT || this == READERS_SILENT_AND_CALLS_STALL;
        }

        private boolean stallsCalls() {
            return this == CALLS_STALL || this == READERS_SILENT_AND_CALLS_STALL;
        }
    }

    /** A store and the entries that read it. */
    private static final class FakeDomain {
        private final VirtualTime time = new VirtualTime();
        private final List<Entry> entries = new ArrayList<>();
        private final Map<StorePort.Table, List<StorePort.StoredRow>> rows = new EnumMap<>(StorePort.Table.class);
        private final Map<StorePort.Table, Integer> calls = new EnumMap<>(StorePort.Table.class);
        private final Set<Call> longPolls = new HashSet<>();
        private long version = 1;
        private Duration slowness = Duration.ZERO;

        private FakeDomain(int entryCount, Duration heartbeatInterval) {
            for (StorePort.Table table : StorePort.Table.values()) {
                rows.put(table, new ArrayList<>());
            }
            List<String> names = IntStream.range(0, entryCount)
                    .mapToObj(number -> "entry-" + number)
                    .toList();
            names.forEach(name -> entries.add(new Entry(this, name, names)));
            entries.forEach(entry -> entry.feeds.start());
            beatLater(heartbeatInterval);
        }

        private void beatLater(Duration interval) {
            time.schedule(interval, () -> {
                change(StorePort.Table.TARGETS, "heartbeat");
                beatLater(interval);
            });
        }

        /** Writes a row that decodes to an item; the store acknowledges it at once. */
        private void change(StorePort.Table table, String name) {
            version++;
            boolean isOperators = table == StorePort.Table.OPERATOR;
            String key = isOperators ? OPERATOR_KEY_PREFIX + name : name;
            Optional<String> value = isOperators ? Optional.of("unreadable") : Optional.empty();
            rows.get(table).removeIf(row -> row.key().equals(key));
            rows.get(table).add(new StorePort.StoredRow(key, version, value));
            List.copyOf(longPolls).stream().filter(call -> call.table == table).forEach(Call::endLongPoll);
        }

        private void start(Trouble trouble, Duration lateness) {
            for (Entry entry : entries) {
                entry.lateness = lateness;
                entry.silent = trouble.silencesReaders() && entry.isReader();
                if (trouble.stallsCalls()) {
                    entry.stallOneCallOfEachTable();
                }
            }
        }

        private int callCount() {
            return calls.values().stream().mapToInt(Integer::intValue).sum();
        }
    }

    /** A call to the store. */
    private static final class Call implements Cancellable {
        private final FakeDomain domain;
        private final Entry entry;
        private final StorePort.Table table;
        private final StorePort.Position position;
        private final Consumer<StoreReply<StorePort.Page>> onReply;
        private boolean ended;
        private boolean stalled;

        private Call(
                FakeDomain domain,
                Entry entry,
                StorePort.Table table,
                StorePort.Position position,
                Consumer<StoreReply<StorePort.Page>> onReply) {
            this.domain = domain;
            this.entry = entry;
            this.table = table;
            this.position = position;
            this.onReply = onReply;
        }

        private List<StorePort.StoredRow> changedRows() {
            long after = position.version().orElse(Long.MIN_VALUE);
            return domain.rows.get(table).stream()
                    .filter(row -> row.version() > after)
                    .toList();
        }

        private void arrive() {
            if (position.version().isEmpty()
                    || position.longPollWait().isZero()
                    || !changedRows().isEmpty()) {
                answer();
                return;
            }
            domain.longPolls.add(this);
            domain.time.schedule(position.longPollWait(), this::endLongPoll);
        }

        private void endLongPoll() {
            if (domain.longPolls.remove(this)) {
                answer();
            }
        }

        private void answer() {
            StorePort.Page page = new StorePort.Page(
                    changedRows(), domain.version, position.version().isEmpty(), domain.time.nanos() / 1_000_000);
            domain.time.schedule(
                    NETWORK_DELAY.plus(domain.slowness), () -> entry.schedule(Duration.ZERO, () -> receive(page)));
        }

        private void receive(StorePort.Page page) {
            if (ended || stalled) {
                return;
            }
            ended = true;
            entry.openCalls.remove(table, this);
            onReply.accept(new StoreReply.Value<>(page));
        }

        @Override
        public void cancel() {
            ended = true;
            entry.openCalls.remove(table, this);
        }
    }

    /** An entry, whose event loop runs each action late. */
    private static final class Entry implements StorePort, FeedRelay {
        private final FakeDomain domain;
        private final String name;
        private final List<String> others;
        private final StoreFeeds feeds;
        private final StoreAvailability availability;
        private final StoreAvailability targetAvailability;
        private final Set<String> known = new HashSet<>();
        private final Map<Table, Call> openCalls = new HashMap<>();
        private final Set<Table> stallingTables = new HashSet<>();
        private Duration lateness = Duration.ZERO;
        private boolean silent;

        private Entry(FakeDomain domain, String name, List<String> names) {
            this.domain = domain;
            this.name = name;
            this.others = names.stream().filter(other -> !other.equals(name)).toList();
            DecisionLog log = (event, id, fields) -> {};
            availability = new StoreAvailability(domain.time, log, "");
            targetAvailability = new StoreAvailability(domain.time, log, "targets");
            feeds = new StoreFeeds(
                    new FeedReader.Context(
                            this,
                            this::schedule,
                            domain.time,
                            new StoreClock(domain.time),
                            this,
                            new UnreadableRows(log),
                            log),
                    availability,
                    targetAvailability,
                    update -> update.items().forEach(item -> known.add(nameOf(item))),
                    update -> update.items().forEach(item -> known.add(nameOf(item))),
                    update -> {},
                    (table, age) -> {});
        }

        private static String nameOf(OperatorItem item) {
            return ((OperatorItem.Unreadable) item).key().substring(OPERATOR_KEY_PREFIX.length());
        }

        private static String nameOf(TargetItem item) {
            return ((TargetItem.Removed) item).target().value();
        }

        /** Schedules an action that runs late by what the event loop is late by when it is due. */
        private Cancellable schedule(Duration delay, Runnable action) {
            AtomicBoolean cancelled = new AtomicBoolean();
            domain.time.schedule(
                    delay,
                    () -> domain.time.schedule(lateness, () -> {
                        if (!silent && !cancelled.get()) {
                            action.run();
                        }
                    }));
            return () -> cancelled.set(true);
        }

        private void stallOneCallOfEachTable() {
            for (Table table : Table.values()) {
                Optional.ofNullable(openCalls.get(table))
                        .ifPresentOrElse(call -> call.stalled = true, () -> stallingTables.add(table));
            }
        }

        @Override
        public Cancellable read(
                Table table, Position position, Runnable onProgress, Consumer<StoreReply<Page>> onReply) {
            domain.calls.merge(table, 1, Integer::sum);
            Call call = new Call(domain, this, table, position, onReply);
            call.stalled = stallingTables.remove(table);
            openCalls.put(table, call);
            domain.time.schedule(NETWORK_DELAY, call::arrive);
            return call;
        }

        @Override
        public Cancellable commit(Transaction transaction, Consumer<StoreReply<CommitResult>> onReply) {
            throw new UnsupportedOperationException("nothing is written");
        }

        @Override
        public boolean isReader() {
            return ReaderSelection.isReader(name, others, entry -> 1);
        }

        @Override
        public void publish(FeedUpdate update) {
            domain.entries.stream()
                    .filter(other -> other != this)
                    .forEach(other -> domain.time.schedule(
                            NETWORK_DELAY, () -> other.schedule(Duration.ZERO, () -> other.feeds.onUpdate(update))));
        }

        @Override
        public String toString() {
            return name;
        }

        private boolean isHolding() {
            return feeds.freshness().timeUntilNextCheck().isPresent();
        }
    }

    /**
     * Guards against requests that are placed by rows from before a change that the store has acknowledged long ago, since a reader, a connection or the
     * event loop stands still.
     */
    @ParameterizedTest
    @CsvSource({"2, 0", "3, 0", "6, 0", "21, 0", "3, 100", "3, 300", "3, 600", "6, 200", "6, 450", "21, 600"})
    void aChangeIsKnownInTimeOrRequestsWait(int entryCount, long latenessMillis) {
        List<String> late = new ArrayList<>();
        for (Trouble trouble : Trouble.values()) {
            for (StorePort.Table table : List.of(StorePort.Table.TARGETS, StorePort.Table.OPERATOR)) {
                for (Duration heartbeatInterval : List.of(HEARTBEATS_OF_MANY_TARGETS, NO_HEARTBEATS)) {
                    for (int phase = 0; phase < PHASE_COUNT; phase++) {
                        FakeDomain domain = new FakeDomain(entryCount, heartbeatInterval);
                        domain.time.advance(WARM_UP.plusMillis((long) phase * PHASE_MILLIS));
                        domain.start(trouble, Duration.ofMillis(latenessMillis));
                        domain.time.advance(NETWORK_DELAY);
                        domain.change(table, "changed");
                        domain.time.advance(TIME_TO_ACT);
                        String play = trouble + " " + table + " " + heartbeatInterval + " phase " + phase;
                        domain.entries.stream()
                                .filter(entry ->
                                        !entry.silent && !entry.known.contains("changed") && !entry.isHolding())
                                .forEach(entry -> late.add(play + " " + entry.name));
                    }
                }
            }
        }
        assertThat(late).isEmpty();
    }

    /** Guards against entries that take their own stalled connection, or a reader's, for an outage of the store. */
    @ParameterizedTest
    @EnumSource(Trouble.class)
    void aChangeIsKnownInTimeWithoutAWaitWhereEventLoopsKeepUp(Trouble trouble) {
        for (int phase = 0; phase < PHASE_COUNT; phase++) {
            FakeDomain domain = new FakeDomain(6, HEARTBEATS_OF_MANY_TARGETS);
            domain.time.advance(WARM_UP.plusMillis((long) phase * PHASE_MILLIS));
            domain.start(trouble, Duration.ZERO);
            domain.change(StorePort.Table.TARGETS, "target");
            domain.change(StorePort.Table.OPERATOR, "row");
            domain.time.advance(TIME_TO_ACT);
            assertThat(domain.entries).filteredOn(entry -> !entry.silent).allSatisfy(entry -> {
                assertThat(entry.known).contains("target", "row");
                assertThat(entry.isHolding()).isFalse();
                assertThat(entry.availability.isUnreachable()).isFalse();
                assertThat(entry.targetAvailability.isUnreachable()).isFalse();
            });
        }
    }

    /** Guards against requests that wait, and calls that are paid for, while nothing is wrong. */
    @ParameterizedTest
    @CsvSource({"2, 60, 276", "3, 60, 276", "6, 60, 276", "21, 60, 276", "6, 3600000, 228", "21, 3600000, 228"})
    void aHealthyEntryNeverHoldsRequestsAndMakesNoFurtherCalls(int entryCount, long heartbeatMillis, int callsBefore) {
        FakeDomain domain = new FakeDomain(entryCount, Duration.ofMillis(heartbeatMillis));
        domain.time.advance(WARM_UP);
        int before = domain.callCount();
        for (Duration passed = Duration.ZERO;
                passed.compareTo(OBSERVED_TIME) < 0;
                passed = passed.plus(CHECK_INTERVAL)) {
            domain.time.advance(CHECK_INTERVAL);
            assertThat(domain.entries).noneMatch(Entry::isHolding);
        }
        assertThat(domain.callCount() - before).isLessThanOrEqualTo(callsBefore);
    }

    /** Guards against a process that runs the requests of a pause before it has read what has changed meanwhile. */
    @ParameterizedTest
    @ValueSource(longs = {300, 600, 900, 1_600, 2_000, 3_000})
    void requestsOfAPauseWaitForTheRowsThatCameInIt(long pauseMillis) {
        for (int phase = 0; phase < PHASE_COUNT; phase++) {
            FakeDomain domain = new FakeDomain(3, HEARTBEATS_OF_MANY_TARGETS);
            domain.time.advance(WARM_UP.plusMillis((long) phase * PHASE_MILLIS));
            domain.change(StorePort.Table.TARGETS, "changed");
            domain.time.stall(Duration.ofMillis(pauseMillis));
            boolean late = pauseMillis > TIME_TO_ACT.toMillis();
            assertThat(domain.entries).allMatch(entry -> !late || entry.known.contains("changed") || entry.isHolding());
            domain.time.advance(Duration.ofMillis(100));
            assertThat(domain.entries).allMatch(entry -> !late || entry.known.contains("changed") || entry.isHolding());
            domain.time.advance(Duration.ofMillis(1_000));
            assertThat(domain.entries).allMatch(entry -> entry.known.contains("changed") && !entry.isHolding());
        }
    }

    /** Guards against a store that answers slowly but surely, and counts as away, so that nothing more is learnt of it. */
    @ParameterizedTest
    @ValueSource(longs = {300, 600, 850, 950, 1_000, 1_200, 1_500})
    void aSlowStoreIsFollowed(long slowMillis) {
        FakeDomain domain = new FakeDomain(6, HEARTBEATS_OF_MANY_TARGETS);
        domain.time.advance(WARM_UP);
        domain.slowness = Duration.ofMillis(slowMillis);
        domain.time.advance(WARM_UP);
        domain.change(StorePort.Table.TARGETS, "target");
        domain.change(StorePort.Table.OPERATOR, "row");
        domain.time.advance(Duration.ofSeconds(10));
        assertThat(domain.entries).allSatisfy(entry -> {
            assertThat(entry.known).contains("target", "row");
            assertThat(entry.targetAvailability.isUnreachable()).isFalse();
        });
    }

    /** Guards against requests that are held again and again, as the periods of two tables follow one another. */
    @ParameterizedTest
    @CsvSource({"0, 300", "0, 500", "600, 300", "1000, 100", "1000, 200"})
    void noRequestIsHeldForLongerThanASecond(long slowMillis, long latenessMillis) {
        FakeDomain domain = new FakeDomain(6, HEARTBEATS_OF_MANY_TARGETS);
        domain.time.advance(WARM_UP);
        domain.slowness = Duration.ofMillis(slowMillis);
        domain.entries.forEach(entry -> entry.lateness = Duration.ofMillis(latenessMillis));
        domain.time.advance(WARM_UP);
        Map<Entry, Integer> checks = new HashMap<>();
        for (Duration passed = Duration.ZERO;
                passed.compareTo(OBSERVED_TIME) < 0;
                passed = passed.plus(CHECK_INTERVAL)) {
            domain.time.advance(CHECK_INTERVAL);
            for (Entry entry : domain.entries) {
                checks.put(entry, entry.isHolding() ? checks.getOrDefault(entry, 0) + 1 : 0);
                assertThat(CHECK_INTERVAL.multipliedBy(checks.get(entry)))
                        .isLessThanOrEqualTo(Duration.ofMillis(1_100));
            }
        }
    }
}
