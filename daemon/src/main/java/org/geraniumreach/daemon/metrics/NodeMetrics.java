package org.geraniumreach.daemon.metrics;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.ResultCode;

/**
 * The meters of one process.
 *
 * <p>Invariant: the number of series is bounded. Only the first {@value #MAXIMUM_ACCOUNTS} client accounts have meters of
 * their own; the others share those of {@value #OTHER}, so that a great number of accounts costs no memory. Safe for use
 * by several threads.
 */
public final class NodeMetrics {

    /** The most client accounts with meters of their own. */
    public static final int MAXIMUM_ACCOUNTS = 64;

    /** The label of the client accounts beyond. */
    public static final String OTHER = "other";

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Set<String> accounts = ConcurrentHashMap.newKeySet();
    private final Map<Series, RequestMeters> meters = new ConcurrentHashMap<>();

    private record Series(String account, RequestClass kind) {}

    /**
     * Gets the meters of a client account's requests of a class.
     *
     * @param account the account, not null
     * @param kind the class, not null
     * @return the meters, not null
     */
    public RequestMeters requests(AccountId account, RequestClass kind) {
        return meters.computeIfAbsent(
                new Series(label(account), kind), series -> new RequestMeters(registry, series.account(), kind));
    }

    /**
     * Counts a refusal of a caller that is not known to be any client account's.
     *
     * @param code the result, not null
     */
    public void countUnknownCaller(ResultCode code) {
        registry.counter("geraniumreach.refusals.unknown.caller", "result", code.name())
                .increment();
    }

    /**
     * Adds a gauge.
     *
     * @param name its name, not null
     * @param about what it shows, not null
     * @param value reads it, not null
     */
    public void gauge(String name, String about, DoubleSupplier value) {
        Gauge.builder(name, value, DoubleSupplier::getAsDouble)
                .description(about)
                .strongReference(true)
                .register(registry);
    }

    /**
     * Prints all meters in Prometheus' text form.
     *
     * @return the text, not null
     */
    public String scrape() {
        return registry.scrape();
    }

    private String label(AccountId account) {
        String name = account.value();
        if (accounts.contains(name)) {
            return name;
        }
        synchronized (accounts) {
            if (accounts.size() >= MAXIMUM_ACCOUNTS) {
                return OTHER;
            }
            accounts.add(name);
            return name;
        }
    }
}
