package org.geraniumreach.gateway.speed;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.ToDoubleFunction;

import org.geraniumreach.gateway.placement.Target;

/**
 * Learns the pace at a target of mean speed, from the streams that this entry has relayed from all targets of a service.
 *
 * <p>Intended for entries that relay a few streams a second from a service with tens of targets, so that single targets have hardly any
 * samples. Samples are scaled by the known relative rates of their targets, so that it does not matter which targets get most of the
 * requests, and these rates are scaled to a mean of 1, so that they cannot drift together.
 *
 * <p>Confined to the event loop.
 */
final class ServicePace {

    /** Bounds the influence of a target that gets most of the requests. */
    private static final int SAMPLES_PER_TARGET = 8;

    private static final int MINIMUM_SAMPLES = 12;

    private final Map<Target, Deque<PaceSample>> samples = new HashMap<>();

    void add(Target target, PaceSample sample) {
        Deque<PaceSample> recent = samples.computeIfAbsent(target, missing -> new ArrayDeque<>());
        recent.addLast(sample);
        if (recent.size() > SAMPLES_PER_TARGET) {
            recent.removeFirst();
        }
    }

    void remove(Target target) {
        samples.remove(target);
    }

    /**
     * Estimates the pace at a target of mean speed.
     *
     * @param targets the targets of the service
     * @param relativeRates the known relative rates of the targets, 1 where unknown
     * @return the events per millisecond, above 0, or empty if there are too few samples
     */
    OptionalDouble eventsPerMilli(List<Target> targets, ToDoubleFunction<Target> relativeRates) {
        double mean = targets.stream().mapToDouble(relativeRates).average().orElse(1);
        double[] paces = samples.entrySet().stream()
                .flatMapToDouble(entry -> {
                    double rate = relativeRates.applyAsDouble(entry.getKey()) / mean;
                    return entry.getValue().stream().mapToDouble(sample -> sample.eventsPerMilli() / rate);
                })
                .toArray();
        // Unlike the median, the mean of the middle half varies little while targets of several speeds are taken as
        // equally fast.
        return paces.length < MINIMUM_SAMPLES
                ? OptionalDouble.empty()
                : OptionalDouble.of(Quantiles.interquartileMean(Arrays.stream(paces)));
    }
}
