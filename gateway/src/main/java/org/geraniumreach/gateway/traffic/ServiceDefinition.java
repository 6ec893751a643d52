package org.geraniumreach.gateway.traffic;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * The definition of a service that targets offer.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the service's name
 * @param maximumConnections the maximum number of connections to one target from all entries together
 * @param coldStart the load limit of its targets while they warm up
 * @param engine the properties of its model engines, empty for a service without models
 */
public record ServiceDefinition(String name, int maximumConnections, ColdStart coldStart, Optional<Engine> engine) {

    public ServiceDefinition {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(coldStart, "coldStart");
        Objects.requireNonNull(engine, "engine");
    }

    /**
     * The load limit of a target that is warming up.
     *
     * @param warmUpTime how long the target takes to warm up, not null
     * @param requestsPerSecond the rate that the target can take until then, not negative
     */
    public record ColdStart(Duration warmUpTime, double requestsPerSecond) {

        /** For targets that take their full load from the start. */
        public static final ColdStart NONE = new ColdStart(Duration.ZERO, 0);

        public ColdStart {
            Objects.requireNonNull(warmUpTime, "warmUpTime");
            if (!(requestsPerSecond >= 0)) {
                throw new IllegalArgumentException("requestsPerSecond below zero: " + requestsPerSecond);
            }
        }
    }

    /**
     * The properties of a model engine.
     *
     * @param adapterSlots the number of adapters that fit beside the base model
     * @param batchSize the number of requests that run in one batch, above 0, empty if unknown
     * @param kvCacheTokens the number of tokens that fit into the KV cache, above 0, empty if unknown
     * @param models the names of the base models
     */
    public record Engine(int adapterSlots, OptionalInt batchSize, OptionalLong kvCacheTokens, List<String> models) {

        public Engine {
            Objects.requireNonNull(batchSize, "batchSize");
            Objects.requireNonNull(kvCacheTokens, "kvCacheTokens");
            models = List.copyOf(models);
        }

        /**
         * Creates an instance with a KV cache of unknown size.
         *
         * @param adapterSlots the number of adapters that fit beside the base model
         * @param batchSize the number of requests that run in one batch, above 0
         * @param models the names of the base models
         */
        public Engine(int adapterSlots, int batchSize, List<String> models) {
            this(adapterSlots, OptionalInt.of(batchSize), OptionalLong.empty(), models);
        }
    }
}
