package org.geraniumreach.daemon.metrics;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.process.ProcessMeters;

/**
 * The metrics of one process.
 *
 * <p>Invariant: the number of series is bounded. Client accounts beyond the first {@link ProcessMeters#MAX_ACCOUNT_LABELS}
 * share one set of meters. Safe for use by several threads.
 */
public final class NodeMetrics {

    private final ProcessMeters shared = new ProcessMeters();
    private final Map<Series, RequestMeters> meters = new ConcurrentHashMap<>();

    private record Series(String account, RequestClass kind) {}

    /**
     * Gets the meters for one client account and class of requests.
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
     * Counts a refusal of a caller that was not authenticated.
     *
     * @param code the result code, not null
     */
    public void countUnknownCaller(ResultCode code) {
        shared.registry()
                .counter("geraniumreach.refusals.unknown.caller", "result", code.name())
                .increment();
    }

    /**
     * Adds a gauge.
     *
     * @param name the name, not null
     * @param description the description, not null
     * @param value supplies the value, not null
     */
    public void gauge(String name, String description, DoubleSupplier value) {
        shared.gauge(name, description, value);
    }

    /**
     * Formats all meters in the Prometheus text format.
     *
     * @return the text, not null
     */
    public String scrape() {
        return shared.scrape();
    }
}
