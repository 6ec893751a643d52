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

class FairSchedulerTest {

    private static final int MAXIMUM_TOKENS = 100;

    private final Map<String, Long> servedTokens = new HashMap<>();
    private final RunningBatch batch = new RunningBatch();
    private int attemptCount;

    private QueuedRequest<String> request(String account, String adapter, long tokens, int priority) {
        return new QueuedRequest<>(
                AttemptId.of("attempt-" + ++attemptCount),
                AccountId.of(account),
                Optional.of(AdapterReference.of(adapter, "1")),
                tokens,
                priority,
                Long.MAX_VALUE,
                account);
    }

    private QueuedRequest<String> next(FairScheduler<String> order) {
        QueuedRequest<String> next = order.next(adapter -> true, batch).orElseThrow();
        servedTokens.merge(next.payload(), next.tokens(), Long::sum);
        return next;
    }

    /*
     * Callers of a quiet account wait behind another account's flood. The flood is five times as large; in order of arrival
     * the quiet account would get a sixth of the tokens, while its due is a half.
     */
    @ParameterizedTest
    @CsvSource({"0, 1", "0, 2", "500, 3", "2048, 4"})
    void backloggedAccountsDifferByAtMostOneChargeEachPlusTheSlack(long slack, long seed) {
        FairScheduler<String> order = new FairScheduler<>(new QueueWeights(4, slack, 1.25));
        SplittableRandom random = new SplittableRandom(seed);
        for (int index = 0; index < 1200; index++) {
            String account = index % 6 == 0 ? "quiet" : "flood";
            order.add(request(account, "adapter-" + random.nextInt(8), 1 + random.nextInt(MAXIMUM_TOKENS), 5));
        }
        for (int taken = 0; taken < 300; taken++) {
            QueuedRequest<String> request = next(order);
            batch.add(request.adapter().orElseThrow());
            long apart = servedTokens.getOrDefault("flood", 0L) - servedTokens.getOrDefault("quiet", 0L);
            assertThat(Math.abs(apart)).isLessThanOrEqualTo(2 * MAXIMUM_TOKENS + slack);
        }
    }

    /*
     * Callers of other accounts wait while an account that was idle for long is served alone. Without bringing its virtual
     * time up to now it would have saved its idle time up.
     */
    @Test
    void idleAccountAccumulatesNoCredit() {
        FairScheduler<String> order = new FairScheduler<>(QueueWeights.worstAccountFirst());
        order.add(request("late", "adapter", 1, 5));
        next(order);
        for (int index = 0; index < 100; index++) {
            order.add(request("steady", "adapter", 10, 5));
        }
        for (int taken = 0; taken < 50; taken++) {
            next(order);
        }
        servedTokens.clear();
        for (int index = 0; index < 50; index++) {
            order.add(request("late", "adapter", 10, 5));
        }
        for (int taken = 0; taken < 20; taken++) {
            next(order);
        }
        assertThat(servedTokens.get("steady")).isBetween(90L, 110L);
    }

    @Test
    void unusedTokensAreRefunded() {
        FairScheduler<String> order = new FairScheduler<>(QueueWeights.worstAccountFirst());
        for (int index = 0; index < 200; index++) {
            order.add(request("brief", "adapter", 100, 5));
            order.add(request("whole", "adapter", 100, 5));
        }
        Map<String, Integer> used = new HashMap<>();
        for (int taken = 0; taken < 200; taken++) {
            QueuedRequest<String> request = next(order);
            int tokens = request.payload().equals("brief") ? 25 : 100;
            order.onFinished(request, tokens);
            used.merge(request.payload(), tokens, Integer::sum);
        }
        assertThat(used.get("brief")).isCloseTo(used.get("whole"), offset(200));
    }

    @Test
    void higherPriorityGetsMoreWithoutStarvingTheLower() {
        FairScheduler<String> order = new FairScheduler<>(new QueueWeights(4, 0, 1.25));
        for (int index = 0; index < 400; index++) {
            order.add(request("first", "adapter", 10, 9));
            order.add(request("last", "adapter", 10, 0));
        }
        for (int taken = 0; taken < 400; taken++) {
            next(order);
        }
        assertThat((double) servedTokens.get("first") / servedTokens.get("last")).isBetween(6.5, 8.5);
    }

    @Test
    void withinAnAccountAdaptersInTheRunningBatchGoFirst() {
        FairScheduler<String> order = new FairScheduler<>(QueueWeights.fullBatches());
        order.add(request("account", "other", 10, 5));
        order.add(request("account", "running", 10, 5));
        batch.add(AdapterReference.of("running", "1"));
        assertThat(next(order).adapter()).contains(AdapterReference.of("running", "1"));
    }

    @Test
    void tokensAheadOfAQuietAccountExcludeAnotherAccountsBacklog() {
        FairScheduler<String> order = new FairScheduler<>(QueueWeights.worstAccountFirst());
        for (int index = 0; index < 100; index++) {
            order.add(request("flood", "adapter", 100, 5));
        }
        assertThat(order.tokensAhead(request("quiet", "adapter", 100, 5))).isLessThanOrEqualTo(100);
        assertThat(order.tokensAhead(request("flood", "adapter", 100, 5))).isEqualTo(10_000);
    }
}
