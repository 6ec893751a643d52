package org.geraniumreach.gateway.stream;

import java.time.Duration;
import java.util.Objects;

/**
 * What an entry tells another one of a stream.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param key identifies the stream
 * @param origin what began it
 * @param age the time since it was sent to its first target
 * @param remaining the time for which its caller may still come back
 */
public record StreamRecord(StreamKey key, StreamOrigin origin, Duration age, Duration remaining) {

    public StreamRecord {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(origin, "origin");
        Objects.requireNonNull(age, "age");
        Objects.requireNonNull(remaining, "remaining");
    }
}
