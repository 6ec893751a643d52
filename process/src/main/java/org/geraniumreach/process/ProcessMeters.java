package org.geraniumreach.process;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

/**
 * The meter registry of a process, with gauges, bounded client account labels and the Prometheus output.
 *
 * <p>Invariant: the number of labels is bounded. Only the first {@value #MAX_ACCOUNT_LABELS} client accounts have their own label;
 * the others share {@value #OTHER_ACCOUNTS}, so that memory does not grow with the number of accounts. Safe for use by
 * several threads.
 */
public final class ProcessMeters {

    /** The maximum number of client accounts with their own label. */
    public static final int MAX_ACCOUNT_LABELS = 64;

    /** The label shared by all other client accounts. */
    public static final String OTHER_ACCOUNTS = "other";

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Set<String> labelledAccounts = ConcurrentHashMap.newKeySet();

    /**
     * Gets the registry.
     *
     * @return the registry, not null
     */
    public MeterRegistry registry() {
        return registry;
    }

    /**
     * Gets the label for a client account, assigning one if the limit is not reached.
     *
     * @param account the account's name, not null
     * @return the label, not null
     */
    public String accountLabel(String account) {
        if (labelledAccounts.contains(account)) {
            return account;
        }
        synchronized (labelledAccounts) {
            if (labelledAccounts.size() >= MAX_ACCOUNT_LABELS) {
                return OTHER_ACCOUNTS;
            }
            labelledAccounts.add(account);
            return account;
        }
    }

    /**
     * Registers a gauge, whose value is read by the thread that calls {@link #scrape}.
     *
     * @param name the gauge's name, not null
     * @param description the gauge's description, not null
     * @param value supplies the value, not null
     */
    public void gauge(String name, String description, DoubleSupplier value) {
        Gauge.builder(name, value, DoubleSupplier::getAsDouble)
                .description(description)
                .strongReference(true)
                .register(registry);
    }

    /**
     * Formats all meters in the Prometheus text format.
     *
     * @return the text, not null
     */
    public String scrape() {
        return registry.scrape();
    }
}
