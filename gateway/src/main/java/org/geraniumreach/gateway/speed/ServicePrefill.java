package org.geraniumreach.gateway.speed;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

import org.geraniumreach.gateway.placement.Target;

/**
 * Learns how long prompts usually take at a target of mean speed, from the prompts that this entry has sent to all targets of a service.
 *
 * <p>Intended for entries that send a few prompts a second to a service with tens of targets, so that single targets have hardly any
 * samples. Samples are scaled by the known relative rates of their targets, so that it does not matter which targets get most of the
 * prompts, and these rates are scaled to a mean of 1, so that they cannot drift together.
 *
 * <p>Confined to the event loop.
 */
final class ServicePrefill {

    /** The time of a shorter prompt is dominated by the batch step and network latency. */
    static final long MINIMUM_PROMPT_TOKENS = 400;

    /** Bounds the influence of a target that gets most of the prompts. */
    private static final int SAMPLES_PER_TARGET = 8;

    private static final int MINIMUM_SAMPLES = 12;

    /** Times that include waiting are longer, so the overhead is a low quantile. */
    private static final double OVERHEAD_QUANTILE = 0.25;

    /** The overhead and the rate depend on one another; a second round changes both by little. */
    private static final int ROUNDS = 3;

    /** The least part of a prompt's time that counts as its prefill, if the overhead was estimated too high. */
    private static final double MINIMUM_PREFILL_FRACTION = 0.25;

    private final Map<Target, Deque<PrefillSample>> samples = new HashMap<>();

    /** A prompt with its time at a target of mean speed. */
    private record Prompt(long tokens, double millis) {}

    /**
     * The time that prompts take at a target of mean speed.
     *
     * @param overheadMillis the time before the first event that does not depend on the prompt
     * @param tokensPerMilli the prefill rate, above 0
     */
    record Fit(double overheadMillis, double tokensPerMilli) {

        double expectedMillis(long tokens) {
            return overheadMillis + tokens / tokensPerMilli;
        }
    }

    void add(Target target, PrefillSample sample) {
        Deque<PrefillSample> recent = samples.computeIfAbsent(target, missing -> new ArrayDeque<>());
        recent.addLast(sample);
        if (recent.size() > SAMPLES_PER_TARGET) {
            recent.removeFirst();
        }
    }

    void remove(Target target) {
        samples.remove(target);
    }

    /**
     * Estimates the times at a target of mean speed.
     *
     * @param targets the targets of the service
     * @param relativeRates the known relative rates of the targets, 1 where unknown
     * @return the estimate, or empty if there are too few samples
     */
    Optional<Fit> fit(List<Target> targets, ToDoubleFunction<Target> relativeRates) {
        double mean = targets.stream().mapToDouble(relativeRates).average().orElse(1);
        List<Prompt> prompts = samples.entrySet().stream()
                .flatMap(entry -> {
                    double rate = relativeRates.applyAsDouble(entry.getKey()) / mean;
                    return entry.getValue().stream()
                            .map(sample -> new Prompt(sample.promptTokens(), sample.usualMillis() * rate));
                })
                .toList();
        List<Prompt> longPrompts = prompts.stream()
                .filter(prompt -> prompt.tokens() >= MINIMUM_PROMPT_TOKENS)
                .toList();
        if (longPrompts.size() < MINIMUM_SAMPLES) {
            return Optional.empty();
        }
        List<Prompt> shortPrompts = prompts.stream()
                .filter(prompt -> prompt.tokens() < MINIMUM_PROMPT_TOKENS)
                .toList();
        Fit fit = new Fit(0, rate(longPrompts, 0));
        for (int round = 1; round < ROUNDS && shortPrompts.size() >= MINIMUM_SAMPLES; round++) {
            double overhead = overhead(shortPrompts, fit.tokensPerMilli());
            fit = new Fit(overhead, rate(longPrompts, overhead));
        }
        return Optional.of(fit);
    }

    /** Unlike the median, the mean of the middle half varies little while targets of several speeds are taken as equally fast. */
    private static double rate(List<Prompt> prompts, double overheadMillis) {
        return Quantiles.interquartileMean(prompts.stream()
                .mapToDouble(prompt -> prompt.tokens()
                        / Math.max(prompt.millis() - overheadMillis, prompt.millis() * MINIMUM_PREFILL_FRACTION)));
    }

    private static double overhead(List<Prompt> prompts, double tokensPerMilli) {
        return Quantiles.quantile(
                prompts.stream().mapToDouble(prompt -> Math.max(0, prompt.millis() - prompt.tokens() / tokensPerMilli)),
                OVERHEAD_QUANTILE);
    }
}
