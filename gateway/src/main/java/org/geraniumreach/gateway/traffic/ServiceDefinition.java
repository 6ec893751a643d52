package org.geraniumreach.gateway.traffic;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A service that targets offer.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name its name
 * @param maximumConnections the connections that one target takes from all entries together
 * @param coldStart what its targets bear before they have warmed up
 * @param engine how its targets hold models, empty for a plain service
 */
public record ServiceDefinition(String name, int maximumConnections, ColdStart coldStart, Optional<Engine> engine) {

    public ServiceDefinition {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(coldStart, "coldStart");
        Objects.requireNonNull(engine, "engine");
    }

    /**
     * What a target bears before it has warmed up.
     *
     * @param length how long it takes to warm up, not null
     * @param requestsPerSecond the requests that it bears until then, not negative
     */
    public record ColdStart(Duration length, double requestsPerSecond) {

        /** Of targets that bear as much at once as later. */
        public static final ColdStart NONE = new ColdStart(Duration.ZERO, 0);

        public ColdStart {
            Objects.requireNonNull(length, "length");
            if (!(requestsPerSecond >= 0)) {
                throw new IllegalArgumentException("requestsPerSecond below zero: " + requestsPerSecond);
            }
        }
    }

    /**
     * How a model engine holds models.
     *
     * @param adapterPlaces the adapters that fit beside the base model
     * @param batchSize the requests that run together
     * @param models the base models
     */
    public record Engine(int adapterPlaces, int batchSize, List<String> models) {

        public Engine {
            models = List.copyOf(models);
        }
    }
}
