package org.geraniumreach.daemon.metrics;

import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import org.geraniumreach.model.ResultCode;

/**
 * The meters for one client account and class of requests.
 *
 * <p>Safe for use by several threads.
 */
public final class RequestMeters {

    private static final Duration[] WAIT_BUCKETS = millis(1, 5, 20, 50, 100, 250, 500, 1_400, 3_000, 10_000);
    private static final Duration[] TOKEN_GAP_BUCKETS = millis(1, 5, 10, 20, 40, 74, 150, 500, 2_000);

    private final MeterRegistry registry;
    private final Tags tags;
    private final Timer firstToken;
    private final Timer betweenTokens;
    private final Timer queueWait;
    private final Timer loadWait;
    private final Counter promptTokens;
    private final Counter generatedTokens;
    private final Map<ResultCode, Counter> results = new ConcurrentHashMap<>();

    RequestMeters(MeterRegistry registry, String account, RequestClass kind) {
        this.registry = registry;
        this.tags = Tags.of("account", account, "class", kind.label());
        this.firstToken = timer("geraniumreach.first.token", "Time from the request to its first token.", WAIT_BUCKETS);
        this.betweenTokens =
                timer("geraniumreach.between.tokens", "Time between two tokens of an answer.", TOKEN_GAP_BUCKETS);
        this.queueWait =
                timer("geraniumreach.queue.wait", "Time that a request waited at its companion.", WAIT_BUCKETS);
        this.loadWait =
                timer("geraniumreach.load.wait", "Time that a request waited for its adapter's load.", WAIT_BUCKETS);
        this.promptTokens = counter("geraniumreach.tokens.prompt");
        this.generatedTokens = counter("geraniumreach.tokens.generated");
    }

    private Timer timer(String name, String description, Duration[] buckets) {
        return Timer.builder(name)
                .description(description)
                .tags(tags)
                .serviceLevelObjectives(buckets)
                .register(registry);
    }

    private Counter counter(String name) {
        return Counter.builder(name).tags(tags).register(registry);
    }

    private static Duration[] millis(long... values) {
        return Arrays.stream(values).mapToObj(Duration::ofMillis).toArray(Duration[]::new);
    }

    public void recordFirstToken(long nanos) {
        firstToken.record(Duration.ofNanos(nanos));
    }

    public void recordBetweenTokens(long nanos) {
        betweenTokens.record(Duration.ofNanos(nanos));
    }

    /**
     * Records the wait times of a request at its companion.
     *
     * @param queueMicros the time in the queue, in microseconds
     * @param loadMicros the time until its adapter was loaded, in microseconds
     */
    public void recordWaits(long queueMicros, long loadMicros) {
        queueWait.record(Duration.ofNanos(queueMicros * 1_000));
        loadWait.record(Duration.ofNanos(loadMicros * 1_000));
    }

    /**
     * Counts the tokens of a finished request.
     *
     * @param prompt the number of prompt tokens
     * @param generated the number of generated tokens
     */
    public void countTokens(long prompt, long generated) {
        promptTokens.increment(prompt);
        generatedTokens.increment(generated);
    }

    /**
     * Counts the result of a request.
     *
     * @param code the result code, not null
     */
    public void countResult(ResultCode code) {
        results.computeIfAbsent(code, this::resultCounter).increment();
    }

    private Counter resultCounter(ResultCode code) {
        return Counter.builder("geraniumreach.results")
                .tags(tags.and("result", code.name()))
                .register(registry);
    }
}
