package org.geraniumreach.gateway.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.model.TargetId;

/**
 * Values by incarnation of a target.
 *
 * <p>Invariants: a value is kept if the target's row is removed, since the row of the same incarnation may return. Only the
 * {@link #MAXIMUM_SIZE} values used last are kept. Confined to the event loop.
 *
 * @param <V> the type of the values
 */
public final class IncarnationMap<V> {

    /** More than the targets of a fleet and those that a fleet replaces within a day. */
    static final int MAXIMUM_SIZE = 1_024;

    private static final float LOAD_FACTOR = 0.75f;

    private final Map<Incarnation, V> values = new LinkedHashMap<>(16, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Incarnation, V> eldest) {
            return size() > MAXIMUM_SIZE;
        }
    };

    private record Incarnation(TargetId id, long startedAt) {

        static Incarnation of(Target target) {
            return new Incarnation(target.id(), target.description().startedAt());
        }
    }

    /**
     * Gets the value of a target's incarnation.
     *
     * @param target the target, not null
     * @return the value, or empty if there is none
     */
    public Optional<V> get(Target target) {
        // Usually there are none, and each placement asks for all targets.
        return values.isEmpty() ? Optional.empty() : Optional.ofNullable(values.get(Incarnation.of(target)));
    }

    /**
     * Sets the value of a target's incarnation.
     *
     * @param target the target, not null
     * @param value the value, not null
     */
    public void put(Target target, V value) {
        values.put(Incarnation.of(target), Objects.requireNonNull(value, "value"));
    }
}
