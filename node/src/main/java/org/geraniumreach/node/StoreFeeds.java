package org.geraniumreach.node;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

import org.geraniumreach.gateway.adapter.TargetOwnership;
import org.geraniumreach.gateway.port.StorePort;
import org.geraniumreach.gateway.port.StorePort.OperatorItem;
import org.geraniumreach.gateway.port.StorePort.RowChange;
import org.geraniumreach.gateway.port.StorePort.TableUpdate;
import org.geraniumreach.gateway.port.StorePort.TargetItem;
import org.geraniumreach.gateway.store.FeedReader;
import org.geraniumreach.gateway.store.FeedUpdate;
import org.geraniumreach.gateway.store.StoreAvailability;
import org.geraniumreach.platform.StoredRows;

/**
 * The tables of the store that an entry follows, and how current it keeps each.
 *
 * <p>Confined to the event loop.
 */
final class StoreFeeds {

    /** A change must be in force within 2 s, also where the connection to the store or the reader has gone silent. */
    private static final FeedReader.Timing OPERATOR_TIMING = new FeedReader.Timing(
            Duration.ofMillis(1_200), Duration.ZERO, Duration.ofMillis(500), Duration.ofMillis(1_600));

    /** Bounds how long a leaving target is still used; see docs/CAPACITY.md for the cost of shorter intervals. */
    private static final FeedReader.Timing TARGET_TIMING = new FeedReader.Timing(
            Duration.ofMillis(1_200), Duration.ofMillis(800), Duration.ofMillis(500), Duration.ofMillis(1_500));

    /** Changes of shares wake every reader; what an entry changes itself it knows at once. */
    private static final FeedReader.Timing FLEET_TIMING = new FeedReader.Timing(
            Duration.ofSeconds(4), Duration.ofMillis(900), Duration.ofSeconds(1), Duration.ofMillis(4_500));

    private final FeedReader<OperatorItem> operator;
    private final FeedReader<TargetItem> targets;
    private final FeedReader<RowChange> fleet;
    private final Map<StorePort.Table, FeedReader<?>> readers;

    /**
     * Creates feeds that have not started.
     *
     * @param context what the readers share
     * @param availability told of what came of calls
     * @param targetAvailability the same for the targets' rows alone
     * @param operatorChanged told of what the operator wrote
     * @param targetsChanged told of targets' rows
     * @param fleetChanged told of entries' rows
     */
    StoreFeeds(
            FeedReader.Context context,
            StoreAvailability availability,
            StoreAvailability targetAvailability,
            Consumer<TableUpdate<OperatorItem>> operatorChanged,
            Consumer<TableUpdate<TargetItem>> targetsChanged,
            Consumer<TableUpdate<RowChange>> fleetChanged) {
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
    }

    void start() {
        operator.read();
        targets.read();
        fleet.read();
    }

    /** Takes what another entry read. */
    void onUpdate(FeedUpdate update) {
        Optional.ofNullable(readers.get(update.table())).ifPresent(reader -> reader.onUpdate(update));
    }

    /** Gets the moment of the operator's rows that are known; see {@link FeedReader#readAt}. */
    OptionalLong operatorReadAt() {
        return operator.readAt();
    }
}
