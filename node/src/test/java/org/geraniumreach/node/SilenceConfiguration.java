package org.geraniumreach.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Builds configurations with routes of all kinds before {@link SilentTarget}s. Confined to one thread. */
final class SilenceConfiguration {

    private static final int DEFAULT_TIMEOUT_MILLIS = 12_000;

    private final List<String> routes = new ArrayList<>();
    private final List<String> services = new ArrayList<>();
    private int timeoutMillis = DEFAULT_TIMEOUT_MILLIS;
    private int idleTimeoutMillis = 15_000;
    private int maximumBodyBytes = 1_000;
    private int accountPriority = 1;
    private String otherKey = "another-key";

    /** Begins a configuration with a service of each kind and requests that may run once only. */
    static SilenceConfiguration ofSingleRuns() {
        SilenceConfiguration configuration = new SilenceConfiguration();
        configuration.addService("engines");
        configuration.addService("plain");
        configuration.addRoute("flow", "/chat/", "engines");
        configuration.addRoute("book", "/book/", "plain");
        return configuration;
    }

    void setTimeout(int millis) {
        timeoutMillis = millis;
    }

    void setIdleTimeout(int millis) {
        idleTimeoutMillis = millis;
    }

    void setMaximumBody(int bytes) {
        maximumBodyBytes = bytes;
    }

    /** Sets what concerns accounts, whose callers' key stays. */
    void setAccounts(int priority, String secondKey) {
        accountPriority = priority;
        otherKey = secondKey;
    }

    void addService(String name) {
        services.add(String.format(
                "{\"name\":\"%s\",\"max_connections\":300%s}",
                name,
                name.startsWith("engines")
                        ? ",\"engine\":{\"slots\":64,\"adapter_slots\":4,\"models\":[{\"name\":\"base\"}]}"
                        : ""));
    }

    /** Adds a route of a kind, which is chat (streams that may be resumed), flow (other streams), look (idempotent) or book (single-run). */
    void addRoute(String kind, String prefix, String service) {
        addRoute(kind, prefix, service, "");
    }

    /** Adds a route that divides its requests between two services. */
    void addSplitRoute(String kind, String prefix, String service, String second, int secondWeight) {
        addRoute(
                kind,
                prefix,
                service,
                String.format(
                        ",\"traffic_split\":[{\"service\":\"%s\",\"weight\":%d},{\"service\":\"%s\",\"weight\":%d}]",
                        service, 100 - secondWeight, second, secondWeight));
    }

    private void addRoute(String kind, String prefix, String service, String suffix) {
        boolean repeatable = kind.equals("chat") || kind.equals("look");
        String type = kind.equals("look") ? "idempotent" : kind.equals("book") ? "non_idempotent" : "streaming";
        routes.add(String.format(
                Locale.ROOT,
                "{\"name\":\"route-%d\",\"host\":\"127.0.0.1\",\"prefix\":\"%s\",\"route_type\":\"%s\",\"timeout_ms\":%d,"
                        + "\"target_latency_ms\":800,\"priority\":1,\"service\":\"%s\",\"max_attempts\":%d%s%s}",
                routes.size(),
                prefix,
                type,
                timeoutMillis,
                service,
                repeatable ? 3 : 1,
                kind.equals("chat") ? ",\"resumable\":true" : "",
                suffix));
    }

    String text(long version) {
        return String.format(
                Locale.ROOT,
                "{\"version\":%d,\"routes\":[%s],\"services\":[%s],"
                        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":%d,\"header_timeout_ms\":3000,"
                        + "\"idle_timeout_ms\":%d},"
                        + "\"tenants\":[{\"name\":\"acme\",\"api_keys\":[\"a-key\",\"%s\"],\"priority\":%d,"
                        + "\"unit\":\"token_count\",\"plain_tokens\":1,\"rate_per_s\":0,\"burst\":0}]}",
                version,
                String.join(",", routes),
                String.join(",", services),
                maximumBodyBytes,
                idleTimeoutMillis,
                otherKey,
                accountPriority);
    }
}
