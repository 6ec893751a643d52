package org.geraniumreach.node;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.geraniumreach.gateway.admission.AdmissionResult;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.request.OutcomeListener;
import org.geraniumreach.gateway.request.Waits;
import org.geraniumreach.gateway.retry.FailureCause;
import org.geraniumreach.gateway.retry.RetryDecision;
import org.geraniumreach.gateway.traffic.RetryPolicy;
import org.geraniumreach.gateway.traffic.Route;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.testing.FreeAddresses;
import org.geraniumreach.process.ProcessMeters;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class EntryMetricsTest {

    private static final Route ROUTE = new Route(
            "route",
            "host",
            "/",
            List.of(new Route.Destination("service", 1)),
            RetryPolicy.AT_MOST_ONCE,
            Duration.ofSeconds(10),
            Duration.ofMillis(800),
            1,
            0,
            false);

    private final EntryMetrics metrics = new EntryMetrics((event, subject, fields) -> {});

    private static OutcomeListener.Outcome outcome(String account, OutcomeListener.Kind kind) {
        return new OutcomeListener.Outcome(
                "id",
                ROUTE,
                Optional.of(AccountId.of(account)),
                kind,
                200,
                2,
                "",
                Optional.of(Duration.ofMillis(40)),
                Optional.of(Duration.ofMillis(15)),
                new Waits(Duration.ZERO, Duration.ZERO, Duration.ofMillis(250), Duration.ZERO, Duration.ofMillis(90)),
                Duration.ofMillis(350),
                Duration.ofSeconds(1));
    }

    /** Guards against retries whose cause an operator cannot tell from the metrics. */
    @ParameterizedTest
    @EnumSource(FailureCause.class)
    void retriesAreCountedByTheCauseOfTheFailureBefore(FailureCause cause) {
        metrics.write(EventCode.ATTEMPT_RETRIED, "id", Field.of("cause", cause), Field.of("service", "plain"));
        metrics.write(
                EventCode.RETRY_DENIED,
                "id",
                Field.of("result", RetryDecision.Result.NO_BUDGET),
                Field.of("cause", cause));
        assertThat(metrics.scrape())
                .contains("geraniumreach_events_total{event=\"ATTEMPT_RETRIED\",result=\"" + cause + "\"} 1.0")
                .contains("geraniumreach_events_total{event=\"RETRY_DENIED\",result=\"NO_BUDGET\"} 1.0");
    }

    @Test
    void refusalsAreCountedByResultCode() {
        metrics.write(EventCode.REQUEST_REFUSED, "a", Field.of("code", ResultCode.OUT_OF_BUDGET));
        metrics.write(EventCode.REQUEST_REFUSED, "b", Field.of("code", ResultCode.OUT_OF_BUDGET));
        metrics.write(EventCode.REQUEST_REFUSED, "c", Field.of("code", ResultCode.DRAINING));
        assertThat(metrics.scrape())
                .contains("geraniumreach_events_total{event=\"REQUEST_REFUSED\",result=\"OUT_OF_BUDGET\"} 2.0")
                .contains("geraniumreach_events_total{event=\"REQUEST_REFUSED\",result=\"DRAINING\"} 1.0");
    }

    @Test
    void requestEndsAndTimesAreRecordedPerAccount() {
        metrics.onRequestEnded(outcome("acme", OutcomeListener.Kind.ANSWERED));
        assertThat(metrics.scrape())
                .contains("geraniumreach_requests_total{account=\"acme\",end=\"ANSWERED\"} 1.0")
                .contains("geraniumreach_repeated_sends_total{account=\"acme\"} 1.0")
                .contains("geraniumreach_first_part_seconds_bucket{account=\"acme\",le=\"0.05\"} 1")
                .contains("geraniumreach_longest_pause_seconds_bucket{account=\"acme\",le=\"0.3\"} 0")
                .contains("geraniumreach_target_first_part_seconds_bucket{account=\"acme\",le=\"0.025\"} 1")
                .contains("geraniumreach_rate_wait_seconds_bucket{account=\"acme\",le=\"0.025\"} 1")
                .contains("geraniumreach_adapter_wait_seconds_bucket{account=\"acme\",le=\"0.2\"} 0")
                .contains("geraniumreach_room_wait_seconds_bucket{account=\"acme\",le=\"0.1\"} 1");
    }

    @Test
    void admissionsAreCountedByUrgencyAndResult() {
        metrics.onAdmissionDecided(4, AdmissionResult.REJECTED_NO_TIME);
        metrics.onAdmissionDecided(4, AdmissionResult.REJECTED_NO_TIME);
        metrics.onAdmissionDecided(0, AdmissionResult.ADMITTED);
        assertThat(metrics.scrape())
                .contains("geraniumreach_admission_decisions_total{result=\"REJECTED_NO_TIME\",urgency=\"4\"} 2.0")
                .contains("geraniumreach_admission_decisions_total{result=\"ADMITTED\",urgency=\"0\"} 1.0");
    }

    // Guards against an unbounded number of series, which would cost operators all metrics: each client account has
    // about forty.
    @Test
    void accountsBeyondLimitShareOneSeries() {
        for (int number = 0; number < 10 * ProcessMeters.MAX_ACCOUNT_LABELS; number++) {
            metrics.onRequestEnded(outcome("account" + number, OutcomeListener.Kind.ANSWERED));
        }
        assertThat(metrics.scrape().lines().filter(line -> line.startsWith("geraniumreach_repeated_sends_total")))
                .hasSize(ProcessMeters.MAX_ACCOUNT_LABELS + 1);
    }

    @Test
    void serverServesMetricsAsText() throws IOException {
        metrics.gauge("geraniumreach.ready", "1 if callers are wanted.", () -> 1);
        InetSocketAddress address = FreeAddresses.next();
        String url = "http://127.0.0.1:" + address.getPort() + MetricsServer.PATH;
        try (MetricsServer server = MetricsServer.start(address, metrics::scrape);
                InputStream answer = URI.create(url).toURL().openStream()) {
            assertThat(server).isNotNull();
            assertThat(new String(answer.readAllBytes(), StandardCharsets.UTF_8))
                    .contains("geraniumreach_ready 1.0");
        }
    }
}
