package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.Objects;
import java.util.stream.Stream;

import org.geraniumreach.gateway.port.DecisionLog.Field;

/**
 * The time that a request spent waiting to be sent, by cause.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param rate the wait for quota units of its client account's rate
 * @param adapter the wait for the load of its adapter
 * @param room the wait for prefill capacity at a target that holds its adapter
 */
public record Waits(Duration rate, Duration adapter, Duration room) {

    public Waits {
        Objects.requireNonNull(rate, "rate");
        Objects.requireNonNull(adapter, "adapter");
        Objects.requireNonNull(room, "room");
    }

    /**
     * Appends the waits in milliseconds to the fields of a log event.
     *
     * @param fields the other fields, not null
     * @return all fields, not null
     */
    public Field[] after(Field... fields) {
        Stream<Field> waits = Stream.of(
                Field.of("rateWaitMillis", rate.toMillis()),
                Field.of("adapterWaitMillis", adapter.toMillis()),
                Field.of("roomWaitMillis", room.toMillis()));
        return Stream.concat(Stream.of(fields), waits).toArray(Field[]::new);
    }
}
