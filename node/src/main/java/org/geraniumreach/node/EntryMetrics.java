package org.geraniumreach.node;

import java.time.Duration;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.DoubleSupplier;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import org.geraniumreach.gateway.admission.AdmissionResult;
import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.StorePort;
import org.geraniumreach.gateway.request.Arrival;
import org.geraniumreach.gateway.request.OutcomeListener;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.process.ProcessMeters;

/**
 * Records the metrics of an entry.
 *
 * <p>Counts each log line, even if the log drops it, by its event and the result in its fields, such as the code of a refusal or the
 * result of an order. Invariant: the number of series is bounded by the number of events, by the number of results, which are enum
 * constants, by the ten urgencies, and by {@link ProcessMeters#MAX_ACCOUNT_LABELS}. Safe for use by several threads.
 */
final class EntryMetrics implements DecisionLog {

    /**
     * Range from the prefill time of a short prompt to the time after which callers have disconnected; 0.3 s is the usual limit of a
     * pause, and 0.8 s the usual objective.
     */
    private static final Duration[] BUCKET_BOUNDS = {
        Duration.ofMillis(25),
        Duration.ofMillis(50),
        Duration.ofMillis(100),
        Duration.ofMillis(200),
        Duration.ofMillis(300),
        Duration.ofMillis(500),
        Duration.ofMillis(800),
        Duration.ofMillis(1_500),
        Duration.ofMillis(3_000),
        Duration.ofMillis(10_000)
    };

    /** The fields whose value labels the counter of a log line; the first one in the line does. */
    private static final List<String> RESULT_FIELDS = List.of("code", "result", "cause");

    private final DecisionLog log;
    private final ProcessMeters meters = new ProcessMeters();
    private final Map<EventCode, Map<String, Counter>> eventCounters = new EnumMap<>(EventCode.class);
    private final Map<Integer, Map<AdmissionResult, Counter>> admissionCounters = new HashMap<>();
    private final Map<String, RequestMeters> requestMeters = new HashMap<>();
    private final Timer unreadWait =
            timer("geraniumreach.unread.wait", "Longest possible wait of a request until it was read.");
    private final Timer loopWait =
            timer("geraniumreach.loop.wait", "Wait of a request that was read for the event loop.");

    private final Map<StorePort.Table, Timer> rowAges = new EnumMap<>(StorePort.Table.class);

    /** The meters of one client account's requests. */
    private static final class RequestMeters {
        private final Timer firstPart;
        private final Timer longestPause;
        private final Timer total;
        private final Timer rateWait;
        private final Timer adapterWait;
        private final Timer prefillWait;
        private final Timer firstPartAfterSend;
        private final Map<OutcomeListener.Kind, Counter> endsByKind = new EnumMap<>(OutcomeListener.Kind.class);
        private final Counter repeatedSends;

        private RequestMeters(MeterRegistry registry, String account) {
            firstPart = timer(registry, "geraniumreach.first.part", "Time to the first part of an answer.", account);
            longestPause = timer(registry, "geraniumreach.longest.pause", "Longest pause within an answer.", account);
            total = timer(registry, "geraniumreach.request.time", "Time to the end of a request.", account);
            rateWait = timer(registry, "geraniumreach.rate.wait", "Wait for units of the account's rate.", account);
            adapterWait = timer(registry, "geraniumreach.adapter.wait", "Wait for the load of an adapter.", account);
            prefillWait = timer(registry, "geraniumreach.room.wait", "Wait for room to read at a target.", account);
            firstPartAfterSend = timer(
                    registry,
                    "geraniumreach.target.first.part",
                    "Time from the last sending to the first part.",
                    account);
            repeatedSends = registry.counter("geraniumreach.repeated.sends", "account", account);
            for (OutcomeListener.Kind kind : OutcomeListener.Kind.values()) {
                endsByKind.put(
                        kind, registry.counter("geraniumreach.requests", "account", account, "end", kind.name()));
            }
        }

        private static Timer timer(MeterRegistry registry, String name, String description, String account) {
            return Timer.builder(name)
                    .description(description)
                    .tag("account", account)
                    .serviceLevelObjectives(BUCKET_BOUNDS)
                    .register(registry);
        }
    }

    private Timer timer(String name, String description) {
        return Timer.builder(name)
                .description(description)
                .serviceLevelObjectives(BUCKET_BOUNDS)
                .register(meters.registry());
    }

    EntryMetrics(DecisionLog log) {
        this.log = Objects.requireNonNull(log, "log");
    }

    @Override
    public void write(EventCode event, String subject, Field... fields) {
        count(event, resultLabel(fields));
        log.write(event, subject, fields);
    }

    @Override
    public void writeRetained(EventCode event, String subject, Field... fields) {
        count(event, resultLabel(fields));
        log.writeRetained(event, subject, fields);
    }

    private static String resultLabel(Field... fields) {
        for (Field field : fields) {
            if (RESULT_FIELDS.contains(field.name()) && field.value() instanceof Enum<?> value) {
                return value.name();
            }
        }
        return "";
    }

    private synchronized void count(EventCode event, String result) {
        eventCounters
                .computeIfAbsent(event, missing -> new HashMap<>())
                .computeIfAbsent(result, missing -> meters.registry()
                        .counter("geraniumreach.events", "event", event.name(), "result", result))
                .increment();
    }

    /** Records how long a request has waited until the event loop takes it up. */
    void onRequestTaken(Arrival arrival, long now) {
        unreadWait.record(arrival.unread());
        loopWait.record(arrival.sinceRead(now));
    }

    /** Records the age of a table's rows when a request needs them. */
    synchronized void onRowsUsed(StorePort.Table table, Duration age) {
        rowAges.computeIfAbsent(table, missing -> Timer.builder("geraniumreach.row.age")
                        .description("Time since the latest reading of a table when a request needs its rows.")
                        .tag("table", table.name())
                        .serviceLevelObjectives(BUCKET_BOUNDS)
                        .register(meters.registry()))
                .record(age);
    }

    /** Records the outcome and the times of a request. */
    synchronized void onRequestEnded(OutcomeListener.Outcome outcome) {
        String account =
                meters.accountLabel(outcome.account().map(Object::toString).orElse(""));
        RequestMeters accountMeters =
                requestMeters.computeIfAbsent(account, missing -> new RequestMeters(meters.registry(), account));
        accountMeters.endsByKind.get(outcome.kind()).increment();
        accountMeters.total.record(outcome.total());
        accountMeters.repeatedSends.increment(Math.max(0, outcome.sends() - 1));
        accountMeters.rateWait.record(outcome.waits().rate());
        accountMeters.adapterWait.record(outcome.waits().adapter());
        accountMeters.prefillWait.record(outcome.waits().prefillCapacity());
        outcome.firstPartAfterSend().ifPresent(accountMeters.firstPartAfterSend::record);
        outcome.firstPart().ifPresent(accountMeters.firstPart::record);
        if (outcome.firstPart().isPresent()) {
            accountMeters.longestPause.record(outcome.maximumPause());
        }
    }

    /** Records the decision of this entry on a request for its turn at a target. */
    synchronized void onAdmissionDecided(int urgency, AdmissionResult result) {
        admissionCounters
                .computeIfAbsent(urgency, missing -> new EnumMap<>(AdmissionResult.class))
                .computeIfAbsent(result, missing -> meters.registry()
                        .counter(
                                "geraniumreach.admission.decisions",
                                "urgency",
                                String.valueOf(urgency),
                                "result",
                                result.name()))
                .increment();
    }

    /** Adds a gauge, whose value is read on the scraping thread. */
    void gauge(String name, String description, DoubleSupplier value) {
        meters.gauge(name, description, value);
    }

    /** Formats all metrics in the Prometheus text format. */
    String scrape() {
        return meters.scrape();
    }
}
