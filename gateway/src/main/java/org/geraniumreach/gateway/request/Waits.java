package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.Objects;
import java.util.stream.Stream;

import org.geraniumreach.gateway.port.DecisionLog.Field;

/**
 * How long a request was kept from being sent, by cause.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param rate for units of its client account's rate
 * @param adapter for the load of its adapter
 * @param room for room to read its prompt at a target that holds its adapter
 */
public record Waits(Duration rate, Duration adapter, Duration room) {

    public Waits {
        Objects.requireNonNull(rate, "rate");
        Objects.requireNonNull(adapter, "adapter");
        Objects.requireNonNull(room, "room");
    }

    /**
     * Gets a log line's fields, followed by the waits in milliseconds.
     *
     * @param fields the other fields, not null
     * @return all fields, not null
     */
    public Field[] after(Field... fields) {
        Stream<Field> own = Stream.of(
                Field.of("rateWaitMillis", rate.toMillis()),
                Field.of("adapterWaitMillis", adapter.toMillis()),
                Field.of("roomWaitMillis", room.toMillis()));
        return Stream.concat(Stream.of(fields), own).toArray(Field[]::new);
    }
}
