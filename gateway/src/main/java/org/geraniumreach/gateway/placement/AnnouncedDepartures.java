package org.geraniumreach.gateway.placement;

import java.util.Objects;
import java.util.function.Consumer;

import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.TargetCallObserver;
import org.geraniumreach.gateway.port.TargetSignals;
import org.geraniumreach.model.EventCode;

/**
 * Takes targets out of use that say in their answers that they leave.
 *
 * <p>Intended for targets whose rows do not show it, or show it only after the store has been reached again.
 *
 * <p>Keeps nothing itself; the registry remembers what has been said. Confined to the event loop.
 */
public final class AnnouncedDepartures implements TargetCallObserver {

    private final TargetRegistry registry;
    private final DecisionLog log;

    /**
     * Creates an instance.
     *
     * @param registry records the departures, not null
     * @param log receives the departures, not null
     */
    public AnnouncedDepartures(TargetRegistry registry, DecisionLog log) {
        this.registry = Objects.requireNonNull(registry, "registry");
        this.log = Objects.requireNonNull(log, "log");
    }

    @Override
    public Consumer<TargetSignals> onCall(Target target) {
        return signals -> {
            if (signals.leaving()) {
                onAnnounced(target);
            }
        };
    }

    private void onAnnounced(Target target) {
        if (registry.announceDeparture(target)) {
            log.write(EventCode.TARGET_LEAVING, target.id().value());
        }
    }
}
