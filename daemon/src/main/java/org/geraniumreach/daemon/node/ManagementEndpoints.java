package org.geraniumreach.daemon.node;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Supplier;

import org.geraniumreach.daemon.http.Call;
import org.geraniumreach.daemon.http.Routes;
import org.geraniumreach.daemon.metrics.NodeMetrics;
import org.geraniumreach.model.ResultCode;

/**
 * The HTTP endpoints for health, readiness and metrics.
 *
 * <p>Health shows that the process responds; readiness shows whether it accepts work, and if not, why. Immutable and
 * safe for use by several threads.
 */
public final class ManagementEndpoints {

    private static final int UNAVAILABLE = 503;
    private static final String TEXT = "text/plain; charset=utf-8";
    private static final String PROMETHEUS = "text/plain; version=0.0.4; charset=utf-8";

    private final NodeMetrics metrics;
    private final Supplier<Optional<String>> reasonNotReady;

    /**
     * Creates the endpoints.
     *
     * @param metrics the metrics of the process, not null
     * @param reasonNotReady supplies why the process is not ready, empty if it is ready, not null
     */
    public ManagementEndpoints(NodeMetrics metrics, Supplier<Optional<String>> reasonNotReady) {
        this.metrics = metrics;
        this.reasonNotReady = reasonNotReady;
    }

    /**
     * Gets the routes.
     *
     * @return the routes, not null
     */
    public Routes routes() {
        return Routes.none()
                .plus("GET", "/healthz", call -> text(call, ResultCode.OK.httpStatus(), "ok"))
                .plus("GET", "/readyz", this::readiness)
                .plus(
                        "GET",
                        "/metrics",
                        call -> call.reply(
                                ResultCode.OK.httpStatus(),
                                PROMETHEUS,
                                metrics.scrape().getBytes(StandardCharsets.UTF_8)));
    }

    private void readiness(Call call) {
        Optional<String> reason = reasonNotReady.get();
        text(call, reason.isEmpty() ? ResultCode.OK.httpStatus() : UNAVAILABLE, reason.orElse("ready"));
    }

    private static void text(Call call, int status, String content) {
        call.reply(status, TEXT, (content + "\n").getBytes(StandardCharsets.UTF_8));
    }
}
