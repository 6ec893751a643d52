package org.geraniumreach.gateway.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.geraniumreach.gateway.port.StorePort;
import org.geraniumreach.gateway.store.UnreadableRows;

/**
 * Applies changes of the target rows in the store to the registry.
 *
 * <p>Invariant: changes are applied in store order, so that the removal of a row takes effect after its last heartbeat.
 * Confined to the event loop.
 */
public final class TargetUpdates {

    private final TargetRegistry registry;
    private final UnreadableRows unreadableRows;

    /**
     * Creates an updater of a registry.
     *
     * @param registry the registry to update, not null
     * @param unreadableRows records the rows that cannot be read, not null
     */
    public TargetUpdates(TargetRegistry registry, UnreadableRows unreadableRows) {
        this.registry = Objects.requireNonNull(registry, "registry");
        this.unreadableRows = Objects.requireNonNull(unreadableRows, "unreadableRows");
    }

    /**
     * Applies an update from the store.
     *
     * @param update all rows or the changed ones, not null
     */
    public void onUpdate(StorePort.TableUpdate<StorePort.TargetItem> update) {
        if (update.snapshot()) {
            onSnapshot(update);
            return;
        }
        for (StorePort.TargetItem item : update.items()) {
            if (item instanceof StorePort.TargetItem.Present present) {
                registry.put(present.description());
            } else if (item instanceof StorePort.TargetItem.Removed gone) {
                registry.onRowRemoved(gone.target());
            } else if (item instanceof StorePort.TargetItem.Unreadable unreadable) {
                logUnreadable(unreadable);
            }
        }
    }

    private void onSnapshot(StorePort.TableUpdate<StorePort.TargetItem> update) {
        List<TargetDescription> rows = new ArrayList<>();
        for (StorePort.TargetItem item : update.items()) {
            if (item instanceof StorePort.TargetItem.Present present) {
                rows.add(present.description());
            } else if (item instanceof StorePort.TargetItem.Unreadable unreadable) {
                logUnreadable(unreadable);
            }
        }
        registry.replaceAll(rows);
    }

    /** A damaged row, or one of another writer, is logged and skipped; the other rows are applied. */
    private void logUnreadable(StorePort.TargetItem.Unreadable unreadable) {
        unreadableRows.record(StorePort.Table.TARGETS, unreadable.key(), unreadable.reason());
    }
}
