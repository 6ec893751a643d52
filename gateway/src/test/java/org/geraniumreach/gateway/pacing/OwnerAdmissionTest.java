package org.geraniumreach.gateway.pacing;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.gateway.adapter.Lease;
import org.geraniumreach.gateway.adapter.TargetOwnership;
import org.geraniumreach.gateway.pacing.TargetAdmission.Decision;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.placement.TargetDescription;
import org.geraniumreach.gateway.placement.TargetRegistry;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.speed.TargetSpeed;
import org.geraniumreach.gateway.testing.VirtualTime;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.SoftwareVersion;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.Transaction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Uses two entries, of which the first owns the target. */
class OwnerAdmissionTest {

    private static final TargetId ID = TargetId.of("t1");
    private static final long PROMPT_TOKENS = 1_500;
    private static final double TOKENS_PER_MILLI = 20;
    private static final Duration MAX_DELAY = Duration.ofMillis(300);
    private static final Duration LINK_DELAY = Duration.ofMillis(2);

    private final VirtualTime time = new VirtualTime();
    private final Entry owner = new Entry("one", 1);
    private final Entry other = new Entry("two", 1);
    private final List<Decision> decisions = new ArrayList<>();
    private TargetSpeed speed = TargetSpeed.UNKNOWN;
    private boolean linkOpen = true;
    private boolean ownerAnswers = true;

    private static TargetDescription description(long startedAt) {
        return new TargetDescription(
                ID,
                startedAt,
                "service",
                SoftwareVersion.of("v1"),
                new InetSocketAddress("127.0.0.1", 9),
                FailureDomain.of("here"),
                64,
                false,
                Optional.empty(),
                Map.of());
    }

    private final class Entry {
        private final TargetRegistry registry = new TargetRegistry(time);
        private final TargetOwnership ownership;
        private final OwnerAdmission admission;

        private Entry(String name, long incarnation) {
            Lease lease = new Lease(time, time::wallMillis);
            lease.onRenewed(lease.startRenewal(), 0);
            ownership = new TargetOwnership(name, incarnation, lease, time);
            admission = new OwnerAdmission(
                    ownership, registry, service -> TOKENS_PER_MILLI, target -> speed, this::sendToOwner, time, time);
            registry.addListener(admission);
            registry.put(description(1));
        }

        private boolean sendToOwner(String entry, long number, TargetId target, long promptTokens, Duration maxDelay) {
            if (!linkOpen) {
                return false;
            }
            if (ownerAnswers) {
                time.schedule(LINK_DELAY, () -> {
                    Decision decision = owner.admission.decideForPeer(target, promptTokens, maxDelay);
                    time.schedule(LINK_DELAY, () -> admission.onAnswer(number, decision));
                });
            }
            return true;
        }

        private Target target() {
            return registry.find(ID).orElseThrow();
        }

        private Cancellable send() {
            return admission.admit(target(), PROMPT_TOKENS, MAX_DELAY, decisions::add);
        }
    }

    OwnerAdmissionTest() {
        Transaction claim = owner.ownership
                .claim(List.of(ID), List.of("one"), entry -> true)
                .orElseThrow();
        Transaction.Write write = claim.writes().get(0);
        Row row = new Row(write.key(), 5, write.value().orElseThrow());
        owner.ownership.updateHolder(write.key().key(), Optional.of(row));
        other.ownership.updateHolder(write.key().key(), Optional.of(row));
    }

    /** Guards against bursts of prompts that no single entry can detect. */
    @Test
    void promptsOfAllEntriesArePacedTogether() {
        owner.send();
        other.send();
        other.send();
        time.advance(Duration.ofMillis(10));
        assertThat(decisions).hasSize(3);
        assertThat(decisions.get(0)).isEqualTo(Decision.IMMEDIATE);
        assertThat(decisions.get(2).delay()).isGreaterThan(Duration.ofMillis(80));
    }

    /** Guards against requests that hang because the owner is unreachable, has ended or is frozen. */
    @Test
    void aPromptIsSentSoonIfTheOwnerDoesNotAnswer() {
        ownerAnswers = false;
        other.send();
        time.advance(Duration.ofMillis(70));
        assertThat(decisions).containsExactly(Decision.IMMEDIATE);
        linkOpen = false;
        other.send();
        assertThat(decisions).containsExactly(Decision.IMMEDIATE, Decision.IMMEDIATE);
    }

    /** Guards against a second decision for a request after its timeout or cancellation. */
    @Test
    void anAnswerAfterACancellationIsIgnored() {
        other.send().cancel();
        time.advance(Duration.ofSeconds(1));
        assertThat(decisions).isEmpty();
    }

    @Test
    void anEntryThatDoesNotOwnTheTargetDelaysNoPrompt() {
        for (int prompt = 0; prompt < 20; prompt++) {
            assertThat(other.admission.decideForPeer(ID, PROMPT_TOKENS, MAX_DELAY))
                    .isEqualTo(Decision.IMMEDIATE);
        }
        assertThat(owner.admission.decideForPeer(TargetId.of("unknown"), PROMPT_TOKENS, MAX_DELAY))
                .isEqualTo(Decision.IMMEDIATE);
    }

    /** Guards against counting prompts sent to a target's former incarnation. */
    @Test
    void aNewIncarnationOfATargetStartsWithoutPendingPrompts() {
        for (int prompt = 0; prompt < 6; prompt++) {
            owner.send();
        }
        owner.registry.removeEnded(owner.target());
        owner.registry.put(description(2));
        decisions.clear();
        owner.send();
        assertThat(decisions).containsExactly(Decision.IMMEDIATE);
    }

    /**
     * Guards against pacing by the mean speed of the service. A prompt takes 75 ms at that speed; 4 steps of 8.2 ms at the target's speed
     * are left in each 300 ms, and 10 ms may be sent early.
     */
    @ParameterizedTest
    @CsvSource({"1, 1, 74", "2, 1, 30", "1, 2, 182", "0.5, 1, 182", "2, 2, 74"})
    void promptsArePacedByTheSpeedOfTheTarget(double relativeRate, double slowdown, long delayMillis) {
        speed = new TargetSpeed(relativeRate, slowdown, true);
        owner.send();
        other.send();
        time.advance(LINK_DELAY.multipliedBy(2));
        assertThat(decisions).hasSize(2).allMatch(Decision::admitted);
        assertThat(decisions.get(0)).isEqualTo(Decision.IMMEDIATE);
        assertThat(decisions.get(1).delay()).isCloseTo(Duration.ofMillis(delayMillis), Duration.ofMillis(4));
    }

    /** Guards against prompts that wait for a target whose present slowdown leaves no time for them. */
    @Test
    void aTargetThatIsSlowedDownIsSaturatedByOnePrompt() {
        speed = new TargetSpeed(0.5, 2, true);
        owner.send();
        owner.send();
        assertThat(decisions).containsExactly(Decision.IMMEDIATE, Decision.SATURATED);
    }

    /** Guards against prompts sent at a slowdown that has ended. */
    @Test
    void thePaceFollowsTheSlowdownFromOnePromptToTheNext() {
        speed = new TargetSpeed(1, 4, true);
        owner.send();
        time.advance(Duration.ofSeconds(1));
        speed = new TargetSpeed(1, 1, true);
        owner.send();
        owner.send();
        assertThat(decisions.get(1)).isEqualTo(Decision.IMMEDIATE);
        assertThat(decisions.get(2).delay()).isCloseTo(Duration.ofMillis(74), Duration.ofMillis(4));
    }
}
