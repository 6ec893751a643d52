package org.geraniumreach.gateway.placement;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.geraniumreach.model.SoftwareVersion;

/**
 * The software versions that may run a request.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param required the version at which the request must run, empty for any
 * @param preferred the version at which the request must run as long as a target of it is left, empty for any; ignored if one is required
 * @param held the versions that must not run the request
 */
public record VersionRule(
        Optional<SoftwareVersion> required, Optional<SoftwareVersion> preferred, Set<SoftwareVersion> held) {

    /** Allows any version. */
    public static final VersionRule ANY = new VersionRule(Optional.empty(), Optional.empty(), Set.of());

    public VersionRule {
        Objects.requireNonNull(required, "required");
        Objects.requireNonNull(preferred, "preferred");
        held = Set.copyOf(held);
    }

    boolean isAny() {
        return required.isEmpty() && preferred.isEmpty() && held.isEmpty();
    }

    /**
     * Returns which versions may run the request.
     *
     * @param usable the versions of which a target is left that the request may use, not null
     * @return accepts the versions that may run it, not null
     */
    Predicate<SoftwareVersion> allowed(Set<SoftwareVersion> usable) {
        Optional<SoftwareVersion> only = required.or(() -> preferred.filter(usable::contains));
        return version -> !held.contains(version) && only.map(version::equals).orElse(true);
    }
}
