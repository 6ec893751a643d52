package org.geraniumreach.serving.queue;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.AttemptId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.data.Offset.offset;

class FairOrderTest {

    private static final int MAXIMUM_TOKENS = 100;

    private final Map<String, Long> served = new HashMap<>();
    private final Batch batch = new Batch();
    private int attempts;

    private QueuedRequest<String> request(String account, String adapter, long tokens, int priority) {
        return new QueuedRequest<>(
                AttemptId.of("attempt-" + ++attempts),
                AccountId.of(account),
                Optional.of(AdapterReference.of(adapter, "1")),
                tokens,
                priority,
                Long.MAX_VALUE,
                account);
    }

    private QueuedRequest<String> next(FairOrder<String> order) {
        QueuedRequest<String> next = order.next(adapter -> true, batch).orElseThrow();
        served.merge(next.payload(), next.tokens(), Long::sum);
        return next;
    }

    /*
     * Callers of a quiet account wait behind another account's flood. The flood is five times as large; in order of arrival
     * the quiet account would get a sixth of the tokens, while its due is a half.
     */
    @ParameterizedTest
    @CsvSource({"0, 1", "0, 2", "500, 3", "2048, 4"})
    void accountsWithWorkThroughoutStayWithinOneChargeAndTheSlack(long slack, long seed) {
        FairOrder<String> order = new FairOrder<>(new QueueWeights(4, slack, 1.25));
        SplittableRandom random = new SplittableRandom(seed);
        for (int index = 0; index < 1200; index++) {
            String account = index % 6 == 0 ? "quiet" : "flood";
            order.add(request(account, "adapter-" + random.nextInt(8), 1 + random.nextInt(MAXIMUM_TOKENS), 5));
        }
        for (int taken = 0; taken < 300; taken++) {
            QueuedRequest<String> request = next(order);
            batch.add(request.adapter().orElseThrow());
            long apart = served.getOrDefault("flood", 0L) - served.getOrDefault("quiet", 0L);
            assertThat(Math.abs(apart)).isLessThanOrEqualTo(2 * MAXIMUM_TOKENS + slack);
        }
    }

    /*
     * Callers of other accounts wait while an account that was idle for long is served alone. Without bringing its virtual
     * time up to now it would have saved its idle time up.
     */
    @Test
    void idleAccountSavesNothingUp() {
        FairOrder<String> order = new FairOrder<>(QueueWeights.worstAccountFirst());
        order.add(request("late", "adapter", 1, 5));
        next(order);
        for (int index = 0; index < 100; index++) {
            order.add(request("steady", "adapter", 10, 5));
        }
        for (int taken = 0; taken < 50; taken++) {
            next(order);
        }
        served.clear();
        for (int index = 0; index < 50; index++) {
            order.add(request("late", "adapter", 10, 5));
        }
        for (int taken = 0; taken < 20; taken++) {
            next(order);
        }
        assertThat(served.get("steady")).isBetween(90L, 110L);
    }

    @Test
    void tokensChargedButNotUsedAreGivenBack() {
        FairOrder<String> order = new FairOrder<>(QueueWeights.worstAccountFirst());
        for (int index = 0; index < 200; index++) {
            order.add(request("brief", "adapter", 100, 5));
            order.add(request("whole", "adapter", 100, 5));
        }
        Map<String, Integer> used = new HashMap<>();
        for (int taken = 0; taken < 200; taken++) {
            QueuedRequest<String> request = next(order);
            int tokens = request.payload().equals("brief") ? 25 : 100;
            order.finished(request, tokens);
            used.merge(request.payload(), tokens, Integer::sum);
        }
        assertThat(used.get("brief")).isCloseTo(used.get("whole"), offset(200));
    }

    @Test
    void higherPriorityGetsMoreAndLowerIsNotStarved() {
        FairOrder<String> order = new FairOrder<>(new QueueWeights(4, 0, 1.25));
        for (int index = 0; index < 400; index++) {
            order.add(request("first", "adapter", 10, 9));
            order.add(request("last", "adapter", 10, 0));
        }
        for (int taken = 0; taken < 400; taken++) {
            next(order);
        }
        assertThat((double) served.get("first") / served.get("last")).isBetween(6.5, 8.5);
    }

    @Test
    void withinAnAccountTheAdapterInTheBatchGoesFirst() {
        FairOrder<String> order = new FairOrder<>(QueueWeights.fullBatches());
        order.add(request("account", "other", 10, 5));
        order.add(request("account", "running", 10, 5));
        batch.add(AdapterReference.of("running", "1"));
        assertThat(next(order).adapter()).contains(AdapterReference.of("running", "1"));
    }

    @Test
    void tokensAheadOfAQuietAccountDisregardAnotherAccountsFlood() {
        FairOrder<String> order = new FairOrder<>(QueueWeights.worstAccountFirst());
        for (int index = 0; index < 100; index++) {
            order.add(request("flood", "adapter", 100, 5));
        }
        assertThat(order.tokensAhead(request("quiet", "adapter", 100, 5))).isLessThanOrEqualTo(100);
        assertThat(order.tokensAhead(request("flood", "adapter", 100, 5))).isEqualTo(10_000);
    }
}
