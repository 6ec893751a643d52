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
 * <p>Invariant: an incarnation that has said so gets no new requests, even if its row says that it is ready, or lapses and returns.
 * Confined to the event loop.
 */
public final class AnnouncedDepartures implements TargetCallObserver, TargetRegistry.Listener {

    private final DecisionLog log;
    private final IncarnationMap<Boolean> leaving = new IncarnationMap<>();

    /**
     * Creates an instance without departures.
     *
     * @param log receives the departures, not null
     */
    public AnnouncedDepartures(DecisionLog log) {
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
        target.markLeaving();
        if (leaving.get(target).isEmpty()) {
            leaving.put(target, true);
            log.write(EventCode.TARGET_LEAVING, target.id().value());
        }
    }

    @Override
    public void onJoined(Target target) {
        if (leaving.get(target).isPresent()) {
            target.markLeaving();
        }
    }
}
