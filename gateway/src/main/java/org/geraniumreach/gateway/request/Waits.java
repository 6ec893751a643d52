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
 * @param reading the wait for a reading of rows that were older than allowed
 * @param adapter the wait for the load of its adapter
 * @param suspicion the wait for what becomes of a request that may end targets
 * @param prefillCapacity the wait for prefill capacity at a target that holds its adapter
 */
public record Waits(Duration rate, Duration reading, Duration adapter, Duration suspicion, Duration prefillCapacity) {

    public Waits {
        Objects.requireNonNull(rate, "rate");
        Objects.requireNonNull(reading, "reading");
        Objects.requireNonNull(adapter, "adapter");
        Objects.requireNonNull(suspicion, "suspicion");
        Objects.requireNonNull(prefillCapacity, "prefillCapacity");
    }

    /**
     * Appends the waits in milliseconds to the fields of a log event.
     *
     * @param fields the other fields, not null
     * @return all fields, not null
     */
    public Field[] appendTo(Field... fields) {
        Stream<Field> waits = Stream.of(
                Field.of("rateWaitMillis", rate.toMillis()),
                Field.of("readingWaitMillis", reading.toMillis()),
                Field.of("adapterWaitMillis", adapter.toMillis()),
                Field.of("suspicionWaitMillis", suspicion.toMillis()),
                Field.of("roomWaitMillis", prefillCapacity.toMillis()));
        return Stream.concat(Stream.of(fields), waits).toArray(Field[]::new);
    }
}
