package org.geraniumreach.process;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

/**
 * What the meters of every process share: the registry, gauges, the labels of client accounts, and the printing.
 *
 * <p>Invariant: labels are bounded. Only the first {@value #MOST_ACCOUNTS} client accounts have one of their own; the others share
 * {@value #OTHER_ACCOUNTS}, so that a great number of accounts costs no memory. Safe for use by several threads.
 */
public final class ProcessMeters {

    /** The most client accounts with a label of their own. */
    public static final int MOST_ACCOUNTS = 64;

    /** The label of the client accounts beyond. */
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
     * Chooses the label of a client account's meters.
     *
     * @param account the account's name, not null
     * @return the label, not null
     */
    public String accountLabel(String account) {
        if (labelledAccounts.contains(account)) {
            return account;
        }
        synchronized (labelledAccounts) {
            if (labelledAccounts.size() >= MOST_ACCOUNTS) {
                return OTHER_ACCOUNTS;
            }
            labelledAccounts.add(account);
            return account;
        }
    }

    /**
     * Adds a gauge, which is read by the thread that prints.
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
}
