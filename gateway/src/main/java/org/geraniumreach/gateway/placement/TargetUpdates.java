package org.geraniumreach.gateway.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.port.StorePort;
import org.geraniumreach.model.EventCode;

/**
 * Takes the news of the targets' rows into the registry.
 *
 * <p>Invariant: changes are taken in the order of the store, so that a row that went after its last heartbeat is gone. Confined to
 * the event loop.
 */
public final class TargetUpdates {

    private final TargetRegistry registry;
    private final DecisionLog log;

    /**
     * Makes a reader of news.
     *
     * @param registry the targets, not null
     * @param log takes decisions, not null
     */
    public TargetUpdates(TargetRegistry registry, DecisionLog log) {
        this.registry = Objects.requireNonNull(registry, "registry");
        this.log = Objects.requireNonNull(log, "log");
    }

    /**
     * Takes news.
     *
     * @param news the news, all rows there are or those that changed, not null
     */
    public void onNews(StorePort.News<StorePort.TargetItem> news) {
        if (news.whole()) {
            onSnapshot(news);
            return;
        }
        for (StorePort.TargetItem item : news.items()) {
            if (item instanceof StorePort.TargetItem.Present row) {
                registry.put(row.description());
            } else if (item instanceof StorePort.TargetItem.Gone gone) {
                registry.removed(gone.target());
            } else if (item instanceof StorePort.TargetItem.Unreadable bad) {
                logUnreadable(bad);
            }
        }
    }

    private void onSnapshot(StorePort.News<StorePort.TargetItem> news) {
        List<TargetDescription> present = new ArrayList<>();
        for (StorePort.TargetItem item : news.items()) {
            if (item instanceof StorePort.TargetItem.Present row) {
                present.add(row.description());
            } else if (item instanceof StorePort.TargetItem.Unreadable bad) {
                logUnreadable(bad);
            }
        }
        registry.replaceAll(present);
    }

    /** Another writer's row, or a damaged one, names no target; the others hold. */
    private void logUnreadable(StorePort.TargetItem.Unreadable bad) {
        log.write(EventCode.ROW_UNREADABLE, bad.key(), Field.of("reason", bad.reason()));
    }
}
