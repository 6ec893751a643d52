package org.geraniumreach.gateway.traffic;

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
 * @param engine how its targets hold models, empty for a plain service
 */
public record ServiceDefinition(String name, int maximumConnections, Optional<Engine> engine) {

    public ServiceDefinition {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(engine, "engine");
    }

    /**
     * How a model engine holds models.
     *
     * @param adapterPlaces the adapters that fit beside the base model
     * @param batch the requests that run together
     * @param models the base models
     */
    public record Engine(int adapterPlaces, int batch, List<String> models) {

        public Engine {
            models = List.copyOf(models);
        }
    }
}
