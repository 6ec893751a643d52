package org.geraniumreach.gateway.placement;

import java.time.Duration;
import java.util.Objects;

import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.TargetId;

/**
 * Logs why targets are taken out of use, and what brings them back.
 *
 * <p>Invariant: one line is written for each change, not for each heartbeat. Confined to the event loop.
 */
public final class DepartureLog implements TargetRegistry.Listener {

    private final DecisionLog log;

    /**
     * Creates an instance.
     *
     * @param log receives the changes, not null
     */
    public DepartureLog(DecisionLog log) {
        this.log = Objects.requireNonNull(log, "log");
    }

    @Override
    public void onDeparture(Target target, DepartureCause cause) {
        log.write(
                EventCode.TARGET_DEPARTED,
                target.id().value(),
                Field.of("cause", cause),
                Field.of("startedAt", target.description().startedAt()));
    }

    @Override
    public void onRemovalHeld(Target target) {
        log.write(EventCode.TARGET_REMOVAL_HELD, target.id().value());
    }

    @Override
    public void onReturnDoubted(TargetId id) {
        log.write(EventCode.TARGET_RETURN_DOUBTED, id.value());
    }

    @Override
    public void onReturned(Target target, int heartbeats, Duration span) {
        log.write(
                EventCode.TARGET_RETURNED,
                target.id().value(),
                Field.of("heartbeats", heartbeats),
                Field.of("spanMillis", span.toMillis()));
    }
}
