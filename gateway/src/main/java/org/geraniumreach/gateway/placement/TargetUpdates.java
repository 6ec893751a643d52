package org.geraniumreach.gateway.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.port.StorePort;
import org.geraniumreach.model.EventCode;

/**
 * Applies changes of the target rows in the store to the registry.
 *
 * <p>Invariant: changes are applied in store order, so that the removal of a row takes effect after its last heartbeat.
 * Confined to the event loop.
 */
public final class TargetUpdates {

    private final TargetRegistry registry;
    private final DecisionLog log;

    /**
     * Creates an updater of a registry.
     *
     * @param registry the registry to update, not null
     * @param log the decision log, not null
     */
    public TargetUpdates(TargetRegistry registry, DecisionLog log) {
        this.registry = Objects.requireNonNull(registry, "registry");
        this.log = Objects.requireNonNull(log, "log");
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
        log.write(EventCode.ROW_UNREADABLE, unreadable.key(), Field.of("reason", unreadable.reason()));
    }
}
