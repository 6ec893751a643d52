package org.geraniumreach.daemon.companion;

import java.time.InstantSource;
import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.daemon.configuration.ConfigurationService;
import org.geraniumreach.link.Links;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.ports.ModelEngine;
import org.geraniumreach.ports.PlainService;
import org.geraniumreach.ports.TableService;

/**
 * The services and identifiers that a companion works with.
 *
 * <p>Invariant: exactly one of engine and service is present. Immutable and safe for use by several threads.
 *
 * @param instance the companion's instance
 * @param incarnation the number of this start of the process
 * @param target the target that this companion serves
 * @param links the links of this process
 * @param configuration provides the configuration in force
 * @param table the table service in which the fencing token is stored
 * @param engine the target, if it is a model engine
 * @param service the target, if it is a plain service
 * @param clock the monotonic clock
 * @param timeOfDay the wall clock, for comparison with time stamps of other processes
 */
public record CompanionDependencies(
        InstanceId instance,
        long incarnation,
        TargetId target,
        Links links,
        ConfigurationService configuration,
        TableService table,
        Optional<ModelEngine> engine,
        Optional<PlainService> service,
        MonotonicClock clock,
        InstantSource timeOfDay) {

    public CompanionDependencies {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(links, "links");
        Objects.requireNonNull(configuration, "configuration");
        Objects.requireNonNull(table, "table");
        Objects.requireNonNull(clock, "clock");
        Objects.requireNonNull(timeOfDay, "timeOfDay");
        if (engine.isPresent() == service.isPresent()) {
            throw new IllegalArgumentException("target " + target + " must be one of engine and service");
        }
    }
}
