package org.geraniumreach.gateway.stream;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.model.SoftwareVersion;

/**
 * What is known of the origin of a stream that a caller takes up again.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param source where it is known from
 * @param origin the origin, empty if it is not known
 * @param age the time since the stream was sent to its first target, zero if it is not known
 * @param remaining the time for which the caller may still come back, zero if it is not known
 */
public record OriginAnswer(Source source, Optional<StreamOrigin> origin, Duration age, Duration remaining) {

    /** Where the origin of a stream is known from. */
    public enum Source {
        /** The service has had only one software version for as long as its streams last. */
        SOLE_VERSION,
        /** A record of this entry. */
        RECORD,
        /** A record of another entry, or another entry that knows that the service has only one version. */
        PEER,
        /** All entries that would know it have answered that they do not. */
        NOT_KNOWN,
        /** Not all entries that would know it could be asked or have answered in time. */
        NOT_ANSWERED
    }

    public OriginAnswer {
        Objects.requireNonNull(source, "source");
        Objects.requireNonNull(origin, "origin");
        Objects.requireNonNull(age, "age");
        Objects.requireNonNull(remaining, "remaining");
        boolean isKnown = source != Source.NOT_KNOWN && source != Source.NOT_ANSWERED;
        if (isKnown != origin.isPresent()) {
            throw new IllegalArgumentException("origin " + origin + " from " + source);
        }
    }

    /**
     * Obtains the answer for a service that has only one version.
     *
     * @param service the service, not null
     * @param version the version, not null
     * @return the answer, not null
     */
    public static OriginAnswer ofSoleVersion(String service, SoftwareVersion version) {
        return new OriginAnswer(
                Source.SOLE_VERSION, Optional.of(StreamOrigin.of(service, version)), Duration.ZERO, Duration.ZERO);
    }

    /**
     * Obtains the answer that a record gives.
     *
     * @param source whose record it is, not null
     * @param record the record, not null
     * @return the answer, not null
     */
    public static OriginAnswer of(Source source, StreamRecord record) {
        return new OriginAnswer(source, Optional.of(record.origin()), record.age(), record.remaining());
    }

    /**
     * Obtains the answer that the origin is not known.
     *
     * @param source why it is not, not null
     * @return the answer, not null
     */
    public static OriginAnswer unknown(Source source) {
        return new OriginAnswer(source, Optional.empty(), Duration.ZERO, Duration.ZERO);
    }
}
