package org.geraniumreach.gateway.stream;

import java.util.LinkedHashMap;
import java.util.Map;

import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.model.SoftwareVersion;
import org.geraniumreach.model.TargetId;

/**
 * The targets that have started again under their name with another software version.
 *
 * <p>A request that is sent to a target after its last row may reach a later incarnation, whose version the entry does not know
 * yet. Confined to the event loop.
 */
final class RestartedTargets {

    /** Callers whose target has restarted come back within seconds, and few targets restart at a time. */
    private static final int MAXIMUM_DEPARTURES = 256;

    private final Map<TargetId, Departure> departures = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<TargetId, Departure> eldest) {
            return size() > MAXIMUM_DEPARTURES;
        }
    };

    /**
     * An incarnation of a target that has left.
     *
     * @param startedAt the wall clock time of its start, in milliseconds
     * @param version its software version
     * @param confirmedAt a time at which it certainly ran
     * @param replaced whether the target has started again with another version
     */
    private record Departure(long startedAt, SoftwareVersion version, long confirmedAt, boolean replaced) {}

    void onLeft(Target target) {
        departures.remove(target.id());
        departures.put(
                target.id(),
                new Departure(
                        target.description().startedAt(),
                        target.description().softwareVersion(),
                        target.confirmedAt(),
                        false));
    }

    void onJoined(Target target) {
        departures.computeIfPresent(
                target.id(),
                (id, left) -> left.version().equals(target.description().softwareVersion())
                        ? null
                        : new Departure(left.startedAt(), left.version(), left.confirmedAt(), true));
    }

    /** Queries whether an incarnation certainly got what was sent to it at a time. */
    boolean isCertain(StreamOrigin.TargetRun run, long sentAt) {
        Departure left = departures.get(run.target());
        return left == null
                || !left.replaced()
                || left.startedAt() != run.startedAt()
                || sentAt - left.confirmedAt() <= 0;
    }
}
