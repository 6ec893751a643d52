package org.geraniumreach.node;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.geraniumreach.gateway.adapter.TargetOwnership;
import org.geraniumreach.gateway.port.StorePort;
import org.geraniumreach.gateway.port.StorePort.OperatorItem;
import org.geraniumreach.gateway.port.StorePort.RowChange;
import org.geraniumreach.gateway.port.StorePort.TableUpdate;
import org.geraniumreach.gateway.port.StorePort.TargetItem;
import org.geraniumreach.gateway.store.FeedFreshness;
import org.geraniumreach.gateway.store.FeedReader;
import org.geraniumreach.gateway.store.FeedUpdate;
import org.geraniumreach.gateway.store.RowFreshness;
import org.geraniumreach.gateway.store.StoreAvailability;
import org.geraniumreach.platform.StoredRows;

/**
 * The feeds of the store's tables that an entry follows, each with its own timing.
 *
 * <p>Confined to the event loop.
 */
final class StoreFeeds {

    /** A change must be in force within 2 s, even if the connection to the store or the reading entry has stopped responding. */
    private static final FeedReader.Timing OPERATOR_TIMING = new FeedReader.Timing(
            Duration.ofMillis(1_200), Duration.ZERO, Duration.ofMillis(500), Duration.ofMillis(1_350));

    /** Limits how long a target that leaves is still used; see docs/CAPACITY.md for the cost of shorter intervals. */
    private static final FeedReader.Timing TARGET_TIMING = new FeedReader.Timing(
            Duration.ofMillis(1_200), Duration.ofMillis(800), Duration.ofMillis(500), Duration.ofMillis(1_350));

    /** Relaxed, as changes of shares wake every reader, and an entry applies its own changes at once. */
    private static final FeedReader.Timing FLEET_TIMING = new FeedReader.Timing(
            Duration.ofSeconds(4), Duration.ofMillis(900), Duration.ofSeconds(1), Duration.ofMillis(4_500));

    private final FeedReader<OperatorItem> operator;
    private final FeedReader<TargetItem> targets;
    private final FeedReader<RowChange> fleet;
    private final Map<StorePort.Table, FeedReader<?>> readers;
    private final RowFreshness freshness;

    /**
     * Creates the feeds without starting them.
     *
     * @param context the services that all readers share
     * @param availability records the results of calls to the store
     * @param targetAvailability records the results of calls for the table of targets
     * @param operatorChanged called with updates of the operator's table
     * @param targetsChanged called with updates of the table of targets
     * @param fleetChanged called with updates of the entries' table
     * @param rowAges receives the age of a table's rows each time a request needs them
     */
    StoreFeeds(
            FeedReader.Context context,
            StoreAvailability availability,
            StoreAvailability targetAvailability,
            Consumer<TableUpdate<OperatorItem>> operatorChanged,
            Consumer<TableUpdate<TargetItem>> targetsChanged,
            Consumer<TableUpdate<RowChange>> fleetChanged,
            BiConsumer<StorePort.Table, Duration> rowAges) {
        operator = new FeedReader<>(
                StorePort.Table.OPERATOR,
                StoredRows::operatorItem,
                operatorChanged,
                availability,
                OPERATOR_TIMING,
                context);
        targets = new FeedReader<>(
                StorePort.Table.TARGETS,
                StoredRows::targetItem,
                targetsChanged,
                targetAvailability,
                TARGET_TIMING,
                context);
        fleet = new FeedReader<>(
                StorePort.Table.FLEET,
                row -> Optional.of(RowChange.of(TargetOwnership.FLEET_TABLE, row)),
                fleetChanged,
                availability,
                FLEET_TIMING,
                context);
        readers = Map.of(
                StorePort.Table.OPERATOR, operator,
                StorePort.Table.TARGETS, targets,
                StorePort.Table.FLEET, fleet);
        freshness = freshness(StorePort.Table.TARGETS, context, rowAges)
                .and(freshness(StorePort.Table.OPERATOR, context, rowAges));
    }

    private RowFreshness freshness(
            StorePort.Table table, FeedReader.Context context, BiConsumer<StorePort.Table, Duration> rowAges) {
        return new FeedFreshness(
                table, readers.get(table), age -> rowAges.accept(table, age), context.clock(), context.log());
    }

    void start() {
        operator.read();
        targets.read();
        fleet.read();
    }

    /**
     * Reads the entries' table up to the version of a change that the store has acknowledged.
     *
     * @param version the version
     * @param onRead run once the table is known up to that version, at once if it is already
     */
    void readFleetUpTo(long version, Runnable onRead) {
        fleet.readUpTo(version, onRead);
    }

    /** Gets the version up to which the entries' table is known, {@link Long#MIN_VALUE} before the first reading. */
    long fleetVersion() {
        return fleet.version();
    }

    /** Applies an update that another entry has read. */
    void onUpdate(FeedUpdate update) {
        Optional.ofNullable(readers.get(update.table())).ifPresent(reader -> reader.onUpdate(update));
    }

    /** Gets the time as of which the rows of a table are known; see {@link FeedReader#readAt}. */
    OptionalLong readAt(StorePort.Table table) {
        return readers.get(table).readAt();
    }

    /** Gets whether the rows of targets and of the operator may be acted on. */
    RowFreshness freshness() {
        return freshness;
    }
}
