package org.geraniumreach.gateway.admission;

import java.util.List;

import org.geraniumreach.gateway.admission.AdmissionSimulation.Retry;
import org.geraniumreach.gateway.admission.AdmissionSimulation.Workload;
import org.geraniumreach.gateway.priority.PriorityOrder;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Checks what callers get from a target that is asked for more than it can serve. */
class AdmissionLoadTest {

    private static final int HOT_ACCOUNT = 0;
    private static final double HOT_FACTOR = 7.5;

    /**
     * Demand of all accounts but the hot one, which asks for the rest of 160 %. At 70 %, more than a twentieth of the requests would wait for
     * longer than the shortest objective behind others of these accounts alone, since prompts are read one after the other.
     */
    private static final double COOL_DEMAND = 0.5;

    private static final double HOT_USUAL_DEMAND = (1.6 - COOL_DEMAND) / HOT_FACTOR;

    /** One request in a hundred, by which fractions of some hundred requests differ by chance alone. */
    private static final double CHANCE = 0.01;

    private static Workload mixed(double demand, long seed) {
        double perAccount = demand / (AdmissionSimulation.ACCOUNTS - 1 + HOT_FACTOR);
        return new Workload(seed).withDemand(account -> account == HOT_ACCOUNT ? HOT_FACTOR * perAccount : perAccount);
    }

    /** Guards against urgent callers that are served worse than others in bursts of either. */
    @ParameterizedTest
    @CsvSource({"0.7,1", "0.7,2", "1.1,1", "1.1,2", "1.6,1", "1.6,2"})
    void urgentRequestsAreServedInTimeAtLeastAsOftenAsOthers(double demand, long seed) {
        AdmissionSimulation result = mixed(demand, seed).run();
        assertThat(result.inTimeFraction(0)).isGreaterThanOrEqualTo(result.inTimeFraction(1) - CHANCE);
        assertThat(result.inTimeFraction(0)).isGreaterThanOrEqualTo(result.inTimeFraction(2) - CHANCE);
        if (demand <= 1.1) {
            assertThat(result.inTimeFraction(0)).isGreaterThanOrEqualTo(0.95);
        }
    }

    /** Guards against a class that starves while others ask for more than the target can serve. */
    @ParameterizedTest
    @CsvSource({"1.1,1", "1.1,2", "1.6,1", "1.6,2"})
    void theLeastUrgentGetATenthOfThePrefillTime(double demand, long seed) {
        assertThat(mixed(demand, seed).run().prefillFraction(2))
                .isGreaterThanOrEqualTo(PriorityOrder.RESERVED_FRACTION);
    }

    /** Guards against the same if the most urgent alone ask for more than the target can serve. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void theLeastUrgentGetATenthBesideAnExcessOfTheMostUrgent(long seed) {
        AdmissionSimulation result = new Workload(seed)
                .withDemand(account -> account % 2 == 0 ? 0.2 : 0.05)
                .withUrgency(account -> account % 2 == 0 ? 0 : 2)
                .run();
        assertThat(result.prefillFraction(2)).isGreaterThanOrEqualTo(PriorityOrder.RESERVED_FRACTION);
    }

    /** Guards against one account that takes the capacity of accounts of the same urgency. */
    @ParameterizedTest
    @CsvSource({"0,0", "1,1", "2,2", "0,2", "1,2"})
    void anAccountThatAsksForTooMuchTakesNothingFromOthers(int urgency, int hotUrgency) {
        AdmissionSimulation result = new Workload(3)
                .withDemand(account -> account == HOT_ACCOUNT
                        ? HOT_FACTOR * HOT_USUAL_DEMAND
                        : COOL_DEMAND / (AdmissionSimulation.ACCOUNTS - 1))
                .withWeight(account ->
                        account == HOT_ACCOUNT ? HOT_USUAL_DEMAND : COOL_DEMAND / (AdmissionSimulation.ACCOUNTS - 1))
                .withUrgency(account -> account == HOT_ACCOUNT ? hotUrgency : urgency)
                .run();
        assertThat(result.inTimeFractionOfAccounts(account -> account != HOT_ACCOUNT))
                .isGreaterThanOrEqualTo(0.95);
        for (int account = 1; account < AdmissionSimulation.ACCOUNTS; account++) {
            int selected = account;
            double chance = 3 * Math.sqrt(0.95 * 0.05 / result.askedOfAccount(account));
            assertThat(result.inTimeFractionOfAccounts(other -> other == selected))
                    .isGreaterThanOrEqualTo(0.95 - chance);
        }
    }

    /** Guards against an advantage of callers that ignore the time to return. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void repeatingAtOnceGainsNothing(long seed) {
        AdmissionSimulation result = new Workload(seed)
                .withDemand(account -> 1.6 / AdmissionSimulation.ACCOUNTS)
                .withRetry(account -> account % 2 == 0 ? Retry.AT_ONCE : Retry.AFTER_THE_TIME)
                .run();
        assertThat(result.servedOfAccounts(account -> account % 2 == 0))
                .isLessThanOrEqualTo(result.servedOfAccounts(account -> account % 2 == 1));
    }

    /** Guards against requests that get no decision and against bounds that depend on what callers state. */
    @ParameterizedTest
    @ValueSource(doubles = {0.1, 1, 10})
    void hintsThatAreFarOffLoseNoRequest(double hintFactor) {
        AdmissionSimulation result = mixed(1.6, 5).withHintFactor(hintFactor).run();
        assertThat(result.undecided()).isZero();
        assertThat(result.largestQueue()).isLessThanOrEqualTo(AdmissionQueue.MAXIMUM_WAITING);
        assertThat(result.largestRunning()).isLessThanOrEqualTo(AdmissionSimulation.SLOTS);
        assertThat(result.largestStatedTokens()).isLessThanOrEqualTo(AdmissionSimulation.MEMORY_TOKENS);
        assertThat(List.of(0, 1, 2)).allMatch(urgency -> result.inTimeFraction(urgency) > 0);
    }
}
