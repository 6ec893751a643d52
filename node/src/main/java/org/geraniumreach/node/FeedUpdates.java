package org.geraniumreach.node;

import java.util.List;
import java.util.Optional;

import org.geraniumreach.gateway.port.StorePort;
import org.geraniumreach.gateway.store.FeedUpdate;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.StoredRow;

/**
 * Converts feed updates to and from protocol messages.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class FeedUpdates {

    private FeedUpdates() {}

    static Frame toFrame(FeedUpdate update) {
        org.geraniumreach.messages.FeedUpdate.Builder message =
                org.geraniumreach.messages.FeedUpdate.newBuilder().setTable(toMessage(update.table()));
        if (update instanceof FeedUpdate.Changes changes) {
            message.setAfter(changes.after())
                    .setVersion(changes.page().version())
                    .setStoreMillis(changes.page().storeMillis());
            changes.page().rows().forEach(row -> message.addRows(toMessage(row)));
        } else if (update instanceof FeedUpdate.Unreachable unreachable) {
            message.setFailure(unreachable.reason().isEmpty() ? "unknown" : unreachable.reason());
        }
        return Frame.newBuilder().setFeedUpdate(message).build();
    }

    private static StoredRow toMessage(StorePort.StoredRow row) {
        return StoredRow.newBuilder()
                .setKey(row.key())
                .setVersion(row.version())
                .setRemoved(row.value().isEmpty())
                .setValue(row.value().orElse(""))
                .build();
    }

    private static org.geraniumreach.messages.FeedUpdate.Table toMessage(StorePort.Table table) {
        return switch (table) {
            case OPERATOR -> org.geraniumreach.messages.FeedUpdate.Table.OPERATOR;
            case TARGETS -> org.geraniumreach.messages.FeedUpdate.Table.TARGETS;
            case FLEET -> org.geraniumreach.messages.FeedUpdate.Table.FLEET;
            case LEASES -> throw new IllegalArgumentException("leases are not followed");
        };
    }

    /** Converts a message to an update; empty if this version does not know the message's table. */
    static Optional<FeedUpdate> fromMessage(org.geraniumreach.messages.FeedUpdate message) {
        return toTable(message.getTable()).map(table -> fromMessage(table, message));
    }

    private static FeedUpdate fromMessage(StorePort.Table table, org.geraniumreach.messages.FeedUpdate message) {
        if (!message.getFailure().isEmpty()) {
            return new FeedUpdate.Unreachable(table, message.getFailure());
        }
        List<StorePort.StoredRow> rows =
                message.getRowsList().stream().map(FeedUpdates::fromMessage).toList();
        StorePort.Page page = new StorePort.Page(rows, message.getVersion(), false, message.getStoreMillis());
        return new FeedUpdate.Changes(table, message.getAfter(), page);
    }

    private static StorePort.StoredRow fromMessage(StoredRow row) {
        return new StorePort.StoredRow(
                row.getKey(), row.getVersion(), row.getRemoved() ? Optional.empty() : Optional.of(row.getValue()));
    }

    private static Optional<StorePort.Table> toTable(org.geraniumreach.messages.FeedUpdate.Table table) {
        return switch (table) {
            case OPERATOR -> Optional.of(StorePort.Table.OPERATOR);
            case TARGETS -> Optional.of(StorePort.Table.TARGETS);
            case FLEET -> Optional.of(StorePort.Table.FLEET);
            default -> Optional.empty();
        };
    }
}
