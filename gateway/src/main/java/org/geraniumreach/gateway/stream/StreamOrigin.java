package org.geraniumreach.gateway.stream;

import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.model.SoftwareVersion;
import org.geraniumreach.model.TargetId;

/**
 * The service and software version that began a stream.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param service the service
 * @param version the software version
 * @param run the incarnation of the target that was to begin it, empty if only the version is known
 */
public record StreamOrigin(String service, SoftwareVersion version, Optional<TargetRun> run) {

    public StreamOrigin {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(run, "run");
    }

    /**
     * One incarnation of a target.
     *
     * @param target the name of the target
     * @param startedAt the wall clock time of its start, in milliseconds
     */
    public record TargetRun(TargetId target, long startedAt) {

        public TargetRun {
            Objects.requireNonNull(target, "target");
        }

        /**
         * Obtains the incarnation of a target.
         *
         * @param target the target, not null
         * @return the incarnation, not null
         */
        public static TargetRun of(Target target) {
            return new TargetRun(target.id(), target.description().startedAt());
        }
    }

    /**
     * Creates the origin of a stream that is sent to a target.
     *
     * @param target the target, not null
     * @return the origin, not null
     */
    public static StreamOrigin of(Target target) {
        return new StreamOrigin(
                target.description().service(),
                target.description().softwareVersion(),
                Optional.of(TargetRun.of(target)));
    }

    /**
     * Creates the origin of a stream of which only the version is known.
     *
     * @param service the service, not null
     * @param version the software version, not null
     * @return the origin, not null
     */
    public static StreamOrigin of(String service, SoftwareVersion version) {
        return new StreamOrigin(service, version, Optional.empty());
    }
}
