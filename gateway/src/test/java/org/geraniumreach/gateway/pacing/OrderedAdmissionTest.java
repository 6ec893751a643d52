package org.geraniumreach.gateway.pacing;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.Supplier;

import org.geraniumreach.gateway.adapter.Lease;
import org.geraniumreach.gateway.adapter.TargetOwnership;
import org.geraniumreach.gateway.admission.AdmissionRequest;
import org.geraniumreach.gateway.admission.AdmissionSettings;
import org.geraniumreach.gateway.admission.RequestKey;
import org.geraniumreach.gateway.admission.TargetQueues;
import org.geraniumreach.gateway.pacing.TargetAdmission.Admission;
import org.geraniumreach.gateway.pacing.TargetAdmission.Decision;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.placement.TargetDescription;
import org.geraniumreach.gateway.placement.TargetRegistry;
import org.geraniumreach.gateway.testing.VirtualTime;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.SoftwareVersion;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.Transaction;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Uses entries of which the first owns the target, whose only slot admits one request at a time. */
class OrderedAdmissionTest {

    private static final TargetId ID = TargetId.of("t1");
    private static final Duration LINK_DELAY = Duration.ofMillis(2);
    private static final Duration LIFETIME = Duration.ofSeconds(5);
    private static final Duration MAX_DELAY = Duration.ofSeconds(2);
    private static final Duration OWN_DELAY = Duration.ofMillis(30);
    private static final long PROMPT_TOKENS = 200;
    private static final double TOKENS_PER_MILLI = 20;
    private static final int URGENT = 0;
    private static final int NORMAL = 4;

    private final VirtualTime time = new VirtualTime();
    private final Map<String, Entry> entries = new HashMap<>();
    private final Entry owner = new Entry("one");
    private final Entry other = new Entry("two");
    private final Entry third = new Entry("three");
    private final List<String> decided = new ArrayList<>();
    private boolean linksOpen = true;
    private boolean requestsLost;
    private boolean answersLost;
    private boolean endsLost;
    private long holderVersion = 5;

    /** An entry with its links to the others. */
    private final class Entry implements OrderedAdmissionPeers {
        private final String name;
        private final TargetRegistry registry = new TargetRegistry(time);
        private final TargetOwnership ownership;
        private final TargetQueues queues;
        private final OwnerAdmission unordered;
        private final OrderedAdmission admission;
        private boolean ordersRequests = true;
        private int endsSent;

        private Entry(String name) {
            this.name = name;
            Lease lease = new Lease(time, time::wallMillis);
            lease.onRenewed(lease.startRenewal(), 0);
            ownership = new TargetOwnership(name, 1, lease, time);
            queues = new TargetQueues(
                    ownership,
                    registry,
                    new TargetQueues.Capacity(
                            target -> TOKENS_PER_MILLI,
                            target -> new AdmissionSettings(OptionalInt.of(1), OptionalLong.empty(), LIFETIME)),
                    time,
                    time,
                    (event, id, fields) -> {},
                    (urgency, result) -> {});
            unordered = new OwnerAdmission(
                    ownership,
                    registry,
                    service -> TOKENS_PER_MILLI,
                    (entry, number, target, tokens, maxDelay) -> false,
                    time,
                    time);
            admission = new OrderedAdmission(
                    unordered, queues, ownership, this, (target, tokens) -> ownDelay.get(), time, time);
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
            entries.put(name, this);
        }

        @Override
        public boolean requestAdmission(
                String entry, long number, TargetId target, String requestId, AdmissionRequest request) {
            if (!linksOpen) {
                return false;
            }
            if (!requestsLost) {
                time.schedule(LINK_DELAY, () -> entries.get(entry).onRequest(this, number, target, requestId, request));
            }
            return true;
        }

        private void onRequest(Entry sender, long number, TargetId target, String requestId, AdmissionRequest request) {
            boolean offered = ordersRequests
                    && queues.offer(
                            new RequestKey(sender.name, number),
                            requestId,
                            target,
                            request,
                            response -> answer(() -> sender.admission.onResponse(name, number, response)));
            if (!offered) {
                Decision decision = unordered.decideForPeer(target, request.promptTokens(), request.maximumDelay());
                answer(() -> sender.admission.onUnorderedAnswer(name, number, decision));
            }
        }

        private void answer(Runnable delivery) {
            if (linksOpen && !answersLost) {
                time.schedule(LINK_DELAY, delivery);
            }
        }

        @Override
        public void endAdmission(String entry, long number, TargetId target) {
            endsSent++;
            if (linksOpen && !endsLost) {
                time.schedule(LINK_DELAY, () -> entries.get(entry).queues.end(new RequestKey(name, number), target));
            }
        }

        private Target target() {
            return registry.find(ID).orElseThrow();
        }

        private Admission request(String label, int urgency) {
            AdmissionRequest request = new AdmissionRequest(
                    urgency, Optional.empty(), 0, PROMPT_TOKENS, 100, Duration.ofSeconds(1), MAX_DELAY);
            return admission.request(
                    target(),
                    label,
                    request,
                    decision -> decided.add(label + (decision.admitted() ? " admitted" : " rejected")));
        }
    }

    private Supplier<Duration> ownDelay = () -> Duration.ZERO;

    OrderedAdmissionTest() {
        setOwner(owner);
    }

    private void setOwner(Entry newOwner) {
        Transaction claim = new TargetOwnership(newOwner.name, 1, leaseInForce(), time)
                .claim(List.of(ID), List.of(newOwner.name), entry -> true)
                .orElseThrow();
        Transaction.Write write = claim.writes().get(0);
        Row row = new Row(write.key(), holderVersion++, write.value().orElseThrow());
        entries.values()
                .forEach(entry -> entry.ownership.updateHolder(write.key().key(), Optional.of(row)));
    }

    private Lease leaseInForce() {
        Lease lease = new Lease(time, time::wallMillis);
        lease.onRenewed(lease.startRenewal(), 0);
        return lease;
    }

    private void cutLinks() {
        linksOpen = false;
        entries.values().forEach(entry -> entries.keySet().forEach(peer -> {
            entry.admission.onLinkClosed(peer);
            entry.queues.onLinkClosed(peer);
        }));
    }

    private void settle() {
        time.advance(Duration.ofMillis(25));
    }

    /** Guards against an order that holds only among the requests of one entry. */
    @Test
    void anUrgentRequestGoesBeforeAnEarlierOneOfAnotherEntry() {
        Admission running = owner.request("running", NORMAL);
        settle();
        other.request("normal", NORMAL);
        settle();
        third.request("urgent", URGENT);
        settle();
        assertThat(decided).containsExactly("running admitted");
        running.end();
        settle();
        assertThat(decided).containsExactly("running admitted", "urgent admitted");
    }

    /** Guards against requests that hang because their owner is frozen. */
    @Test
    void aRequestKeepsToTheOwnBoundIfTheOwnerIsSilent() {
        requestsLost = true;
        ownDelay = () -> OWN_DELAY;
        other.request("a", NORMAL);
        time.advance(OrderedAdmission.ANSWER_TIMEOUT.plusMillis(1));
        assertThat(decided).isEmpty();
        ownDelay = () -> Duration.ZERO;
        time.advance(OWN_DELAY);
        assertThat(decided).containsExactly("a admitted");
    }

    /** Guards against waiting for the answer of an owner that cannot be reached. */
    @Test
    void aRequestKeepsToTheOwnBoundAtOnceIfNoLinkIsOpen() {
        linksOpen = false;
        other.request("a", NORMAL);
        assertThat(decided).containsExactly("a admitted");
    }

    /** Guards against requests that are delayed for longer than they may be, since the own bound is exceeded for long. */
    @Test
    void theOwnBoundDelaysARequestByItsMaximumDelayAtMost() {
        linksOpen = false;
        ownDelay = () -> OWN_DELAY;
        other.request("a", NORMAL);
        time.advance(MAX_DELAY);
        assertThat(decided).containsExactly("a admitted");
    }

    /** Guards against requests that wait at their owner and then as long again, and are sent after their deadline. */
    @Test
    void theTimeSpentInTheOwnersQueueCountsTowardsTheMaximumDelay() {
        ownDelay = () -> OWN_DELAY;
        owner.request("running", NORMAL);
        other.request("a", NORMAL);
        time.advance(MAX_DELAY.dividedBy(2));
        cutLinks();
        assertThat(decided).containsExactly("running admitted");
        time.advance(MAX_DELAY.dividedBy(2));
        assertThat(decided).containsExactly("running admitted", "a admitted");
    }

    /** Guards against a decision on a request that ends while others learn of the loss of the link. */
    @Test
    void aRequestThatEndsDuringTheLossOfTheLinkIsNotDecided() {
        owner.request("running", NORMAL);
        settle();
        List<Admission> second = new ArrayList<>();
        AdmissionRequest request =
                new AdmissionRequest(NORMAL, Optional.empty(), 0, PROMPT_TOKENS, 100, Duration.ofSeconds(1), MAX_DELAY);
        other.admission.request(
                other.target(), "a", request, decision -> second.get(0).end());
        second.add(other.request("b", NORMAL));
        settle();
        cutLinks();
        time.advance(MAX_DELAY);
        assertThat(decided).containsExactly("running admitted");
    }

    /** Guards against queued requests that hang because their owner has ended without closing its links. */
    @Test
    void aQueuedRequestKeepsToTheOwnBoundIfTheOwnerIsLost() {
        owner.request("running", NORMAL);
        other.request("a", NORMAL);
        settle();
        assertThat(decided).containsExactly("running admitted");
        answersLost = true;
        time.advance(Duration.ofMillis(200));
        assertThat(decided).containsExactly("running admitted", "a admitted");
    }

    /** Guards against a second decision when the owner's answer arrives after the entry has given it up. */
    @Test
    void nothingIsDecidedTwiceAfterTheLinkWasCutAndIsBack() {
        Admission running = owner.request("running", NORMAL);
        other.request("a", NORMAL);
        settle();
        cutLinks();
        assertThat(decided).containsExactly("running admitted", "a admitted");
        linksOpen = true;
        running.end();
        time.advance(MAX_DELAY);
        assertThat(decided).containsExactly("running admitted", "a admitted");
    }

    /** Guards against places in the queue that are kept for requests whose entry cannot be reached. */
    @Test
    void requestsOfAnEntryWhoseLinkHasClosedDoNotWait() {
        owner.request("running", NORMAL);
        other.request("a", NORMAL);
        settle();
        assertThat(owner.queues.waiting()).isEqualTo(1);
        cutLinks();
        assertThat(owner.queues.waiting()).isZero();
    }

    /** Guards against requests that give up an owner that is well, whose queue more urgent requests have joined. */
    @Test
    void aQueuedRequestWaitsOnWhileTheOwnerIsHeardOf() {
        Admission running = owner.request("running", NORMAL);
        other.request("a", NORMAL);
        time.advance(Duration.ofMillis(1_500));
        assertThat(decided).containsExactly("running admitted");
        running.end();
        settle();
        assertThat(decided).containsExactly("running admitted", "a admitted");
    }

    /** Guards against rejections by an entry that no longer knows what the target has to do. */
    @Test
    void aFormerOwnerRejectsNothing() {
        owner.request("running", NORMAL);
        other.request("a", NORMAL);
        settle();
        setOwner(third);
        time.advance(MAX_DELAY.plusSeconds(1));
        assertThat(decided).containsExactly("running admitted", "a admitted");
    }

    /** Guards against requests to a former owner, and against a new owner that waits for the ends of requests it never admitted. */
    @Test
    void aNewOwnerStartsWithAnEmptyQueueAndIgnoresEndsThatItDoesNotKnow() {
        Admission running = other.request("running", NORMAL);
        settle();
        setOwner(third);
        owner.request("a", NORMAL);
        settle();
        running.end();
        third.queues.end(new RequestKey("two", 77), ID);
        settle();
        assertThat(decided).containsExactly("running admitted", "a admitted");
        assertThat(third.queues.waiting()).isZero();
        other.request("b", NORMAL);
        settle();
        assertThat(third.queues.waiting()).isEqualTo(1);
    }

    /** Guards against slots that stay occupied, since the end of an admission was lost. */
    @Test
    void anAdmittedRequestIsForgottenAfterItsLifetimeIfItsEndIsLost() {
        endsLost = true;
        Admission running = other.request("running", NORMAL);
        settle();
        running.end();
        time.advance(LIFETIME.minusSeconds(1));
        owner.request("a", NORMAL);
        settle();
        assertThat(decided).containsExactly("running admitted");
        time.advance(Duration.ofSeconds(1));
        assertThat(decided).containsExactly("running admitted", "a admitted");
    }

    /** Guards against requests that hold capacity after their answer was lost, and are sent without one. */
    @Test
    void aRequestWhoseAnswerIsLostIsSentAndItsEndIsReported() {
        answersLost = true;
        Admission lost = other.request("a", NORMAL);
        time.advance(OrderedAdmission.ANSWER_TIMEOUT.plusMillis(1));
        assertThat(decided).containsExactly("a admitted");
        answersLost = false;
        lost.end();
        settle();
        owner.request("b", NORMAL);
        assertThat(decided).containsExactly("a admitted", "b admitted");
    }

    /** Guards against places in the queue that are kept for callers who have gone, and against decisions for them. */
    @Test
    void aRequestWhoseCallerHasGoneNoLongerWaits() {
        Admission running = owner.request("running", NORMAL);
        Admission gone = other.request("a", NORMAL);
        settle();
        gone.end();
        gone.end();
        settle();
        assertThat(owner.queues.waiting()).isZero();
        running.end();
        time.advance(MAX_DELAY);
        assertThat(decided).containsExactly("running admitted");
        assertThat(other.endsSent).isEqualTo(1);
    }

    /** Guards against an entry that waits for the second answer of an owner that orders nothing, or reports an end to it. */
    @Test
    void theAnswerOfAnOwnerThatOrdersNothingIsFinal() {
        owner.ordersRequests = false;
        Admission first = other.request("a", NORMAL);
        other.request("b", URGENT);
        settle();
        assertThat(decided).containsExactlyInAnyOrder("a admitted", "b admitted");
        first.end();
        assertThat(other.endsSent).isZero();
    }

    /** Guards against answers of one entry that are taken for those of the owner that was asked. */
    @Test
    void anAnswerOfAnotherEntryIsIgnored() {
        requestsLost = true;
        other.request("a", NORMAL);
        other.admission.onUnorderedAnswer("three", 1, Decision.SATURATED);
        assertThat(decided).isEmpty();
    }

    /** Guards against requests that are queued for a target which has left, and against its timers. */
    @Test
    void theQueueOfATargetThatHasLeftIsForgotten() {
        owner.request("running", NORMAL);
        other.request("a", NORMAL);
        settle();
        owner.registry.removeEnded(owner.target());
        assertThat(owner.queues.waiting()).isZero();
        time.advance(Duration.ofMillis(300));
        assertThat(decided).containsExactly("running admitted", "a admitted");
    }
}
