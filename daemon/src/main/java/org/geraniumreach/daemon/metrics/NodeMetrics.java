package org.geraniumreach.daemon.metrics;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.process.ProcessMeters;

/**
 * The meters of one process.
 *
 * <p>Invariant: the number of series is bounded. Client accounts beyond the first
 * {@link ProcessMeters#MOST_ACCOUNTS} share their meters. Safe for use
 * by several threads.
 */
public final class NodeMetrics {

    private final ProcessMeters shared = new ProcessMeters();
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
                new Series(shared.accountLabel(account.value()), kind),
                series -> new RequestMeters(shared.registry(), series.account(), kind));
    }

    /**
     * Counts a refusal of a caller that is not known to be any client account's.
     *
     * @param code the result, not null
     */
    public void countUnknownCaller(ResultCode code) {
        shared.registry()
                .counter("geraniumreach.refusals.unknown.caller", "result", code.name())
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
        shared.gauge(name, about, value);
    }

    /**
     * Prints all meters in Prometheus' text form.
     *
     * @return the text, not null
     */
    public String scrape() {
        return shared.scrape();
    }
}
