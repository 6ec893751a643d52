package org.geraniumreach.gateway.admission;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.geraniumreach.gateway.adapter.Lease;
import org.geraniumreach.gateway.adapter.TargetOwnership;
import org.geraniumreach.gateway.placement.TargetDescription;
import org.geraniumreach.gateway.placement.TargetRegistry;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.testing.VirtualTime;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.SoftwareVersion;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.Transaction;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Owns one target, whose only slot admits one request at a time. */
class TargetQueuesTest {

    private static final TargetId ID = TargetId.of("t1");
    private static final Duration LIFETIME = Duration.ofSeconds(5);

    private final VirtualTime time = new VirtualTime();
    private final TargetRegistry registry = new TargetRegistry(time);
    private final Lease lease = new Lease(time, time::wallMillis);
    private final TargetOwnership ownership = new TargetOwnership("one", 1, lease, time);
    private final List<Map<String, Object>> logged = new ArrayList<>();
    private final List<String> observed = new ArrayList<>();
    private final List<AdmissionResponse> responses = new ArrayList<>();
    private final TargetQueues queues = new TargetQueues(
            ownership,
            registry,
            new TargetQueues.Capacity(
                    target -> 20, target -> new AdmissionSettings(OptionalInt.of(1), OptionalLong.empty(), LIFETIME)),
            time,
            time,
            this::log,
            (urgency, result) -> observed.add(urgency + " " + result));

    TargetQueuesTest() {
        lease.onRenewed(lease.startRenewal(), 0);
        registry.addListener(queues);
        registry.put(new TargetDescription(
                ID,
                1,
                "service",
                SoftwareVersion.of("v1"),
                new InetSocketAddress("127.0.0.1", 9),
                FailureDomain.of("here"),
                64,
                false,
                Optional.empty(),
                Map.of()));
        own(5);
    }

    private void own(long fence) {
        Transaction.Write write = new TargetOwnership("one", 1, lease, time)
                .claim(List.of(ID), List.of("one"), entry -> true)
                .orElseThrow()
                .writes()
                .get(0);
        ownership.updateHolder(
                write.key().key(),
                Optional.of(new Row(write.key(), fence, write.value().orElseThrow())));
    }

    private void log(EventCode event, String subject, Field... fields) {
        Map<String, Object> line = Arrays.stream(fields).collect(Collectors.toMap(Field::name, Field::value));
        line.put("event", event);
        line.put("id", subject);
        logged.add(line);
    }

    private void offer(String entry, long number, int urgency, Duration maximumDelay) {
        AdmissionRequest request = new AdmissionRequest(
                urgency, Optional.of(AccountId.of("acme")), 1, 200, 100, Duration.ofSeconds(1), maximumDelay);
        queues.offer(new RequestKey(entry, number), "request-" + number, ID, request, responses::add);
    }

    private boolean lastIsAdmitted() {
        return responses.get(responses.size() - 1).decision() instanceof AdmissionDecision.Admitted;
    }

    /** Guards against decisions that an operator cannot explain. */
    @Test
    void eachDecisionIsLoggedWithWhatLedToIt() {
        offer("two", 1, 4, Duration.ofSeconds(1));
        offer("three", 2, 3, Duration.ofSeconds(1));
        queues.end(new RequestKey("two", 1), ID);
        time.advance(Duration.ofMillis(30));
        assertThat(logged).extracting(line -> line.get("event")).containsOnly(EventCode.ADMISSION_DECIDED);
        assertThat(logged)
                .extracting(line -> line.get("id") + " " + line.get("result"))
                .containsExactly("request-1 ADMITTED", "request-2 QUEUED", "request-2 ADMITTED");
        assertThat(logged.get(1))
                .containsEntry("target", "t1")
                .containsEntry("entry", "three")
                .containsEntry("urgency", 3)
                .containsEntry("account", "acme")
                .containsEntry("queueLength", 1)
                .containsKey("usage");
        assertThat(observed).containsExactly("4 ADMITTED", "3 QUEUED", "3 ADMITTED");
    }

    /** Guards against rejecting requests that no less urgent ones wait with, and against not telling where they do. */
    @Test
    void aRejectionTellsWhetherLessUrgentRequestsWait() {
        offer("two", 1, 4, Duration.ofSeconds(1));
        time.advance(Duration.ofMillis(200));
        queues.end(new RequestKey("two", 1), ID);
        offer("two", 2, 4, Duration.ofSeconds(1));
        offer("two", 3, 4, Duration.ZERO);
        assertThat(responses.get(responses.size() - 1).lessUrgentWait()).isFalse();
        offer("two", 4, 6, Duration.ofSeconds(3));
        offer("two", 5, 4, Duration.ZERO);
        AdmissionResponse last = responses.get(responses.size() - 1);
        assertThat(last.decision()).isInstanceOf(AdmissionDecision.Rejected.class);
        assertThat(last.lessUrgentWait()).isTrue();
    }

    /** Guards against a slot that stays occupied for a request of a former process of an entry. */
    @Test
    void aRequestWithTheNumberOfAnotherOneHasReplacedIt() {
        offer("two", 1, 4, Duration.ofSeconds(1));
        offer("two", 1, 4, Duration.ofSeconds(1));
        time.advance(Duration.ofMillis(50));
        assertThat(lastIsAdmitted()).isTrue();
        assertThat(queues.waiting()).isZero();
    }

    /** Guards against a former time of ownership whose requests occupy the target. */
    @Test
    void aTargetThatIsOwnedAnewStartsWithAnEmptyQueue() {
        offer("two", 1, 4, Duration.ofSeconds(1));
        own(6);
        offer("two", 2, 4, Duration.ofSeconds(1));
        assertThat(lastIsAdmitted()).isTrue();
    }

    /** Guards against accepting requests without the right to order the target. */
    @Test
    void nothingIsAcceptedAfterTheLeaseHasEnded() {
        time.advance(Duration.ofMinutes(1));
        AdmissionRequest request =
                new AdmissionRequest(3, Optional.empty(), 0, 200, 100, Duration.ofSeconds(1), Duration.ofSeconds(1));
        assertThat(queues.offer(new RequestKey("two", 1), "a", ID, request, responses::add))
                .isFalse();
        assertThat(responses).isEmpty();
    }

    /** Guards against an end that arrives after its request was forgotten, and frees the slot of another request. */
    @Test
    void aLateEndOfAForgottenRequestIsIgnored() {
        offer("two", 1, 4, Duration.ofSeconds(1));
        time.advance(LIFETIME.plusSeconds(1));
        offer("two", 2, 4, Duration.ofSeconds(1));
        assertThat(lastIsAdmitted()).isTrue();
        queues.end(new RequestKey("two", 1), ID);
        time.advance(Duration.ofMillis(100));
        offer("two", 3, 4, Duration.ofSeconds(1));
        assertThat(lastIsAdmitted()).isFalse();
    }

    /** Guards against memory that stays occupied for a request that ends while another one's admission is delivered. */
    @Test
    void aRequestThatEndsBeforeItsAdmissionIsDeliveredOccupiesNothing() {
        TargetQueues shared = new TargetQueues(
                ownership,
                registry,
                new TargetQueues.Capacity(
                        target -> 0,
                        target -> new AdmissionSettings(OptionalInt.empty(), OptionalLong.of(100), LIFETIME)),
                time,
                time,
                this::log,
                (urgency, result) -> {});
        offerTokens(shared, 1, 100, responses::add);
        offerTokens(shared, 2, 50, response -> {
            if (response.decision() instanceof AdmissionDecision.Admitted) {
                shared.end(new RequestKey("two", 3), ID);
            }
        });
        offerTokens(shared, 3, 50, responses::add);
        shared.end(new RequestKey("two", 1), ID);
        offerTokens(shared, 4, 50, responses::add);
        assertThat(lastIsAdmitted()).isTrue();
    }

    private static void offerTokens(
            TargetQueues queues, long number, long tokens, Consumer<AdmissionResponse> listener) {
        Duration second = Duration.ofSeconds(1);
        AdmissionRequest request =
                new AdmissionRequest(4, Optional.of(AccountId.of("acme")), 1, 0, tokens, second, second);
        queues.offer(new RequestKey("two", number), "request-" + number, ID, request, listener);
    }
}
