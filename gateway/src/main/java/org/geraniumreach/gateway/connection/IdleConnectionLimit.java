package org.geraniumreach.gateway.connection;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

import org.geraniumreach.gateway.division.LimitDivision;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.traffic.ServiceDefinition;

/**
 * Limits the idle connections that this entry keeps to a target.
 *
 * <p>Intended for many entries before targets that reset connections beyond a number for all entries together: whether a request that was sent
 * on such a connection has run is unknown.
 *
 * <p>Invariant: all entries together keep at most one in {@link #CONNECTIONS_PER_IDLE_ONE} of the connections that a target accepts idle. The others
 * are left for requests in progress, which may all come from one entry. Confined to the event loop.
 */
public final class IdleConnectionLimit {

    static final int CONNECTIONS_PER_IDLE_ONE = 2;

    private final Function<String, Optional<ServiceDefinition>> findService;
    private final LimitDivision division;

    /**
     * Creates a limit.
     *
     * @param findService finds a service by its name, not null
     * @param division divides the idle connections among entries, not null
     */
    public IdleConnectionLimit(Function<String, Optional<ServiceDefinition>> findService, LimitDivision division) {
        this.findService = Objects.requireNonNull(findService, "findService");
        this.division = Objects.requireNonNull(division, "division");
    }

    /**
     * Returns the number of idle connections that this entry may keep to a target.
     *
     * @param target the target, not null
     * @return the number, not negative, 0 if the target's service is unknown
     */
    public int of(Target target) {
        return findService
                .apply(target.description().service())
                .map(service ->
                        division.share(target.id().value(), service.maximumConnections() / CONNECTIONS_PER_IDLE_ONE))
                .orElse(0);
    }
}
