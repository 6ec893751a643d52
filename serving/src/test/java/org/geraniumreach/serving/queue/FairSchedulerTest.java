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

    private QueuedRequest<String> next(FairScheduler<String> scheduler) {
        QueuedRequest<String> next = scheduler.next(adapter -> true, batch).orElseThrow();
        servedTokens.merge(next.payload(), next.tokens(), Long::sum);
        return next;
    }

    /*
     * Guards against one account delaying another by sending five times as many requests. In order of arrival the quiet
     * account would get a sixth of the tokens instead of its fair half.
     */
    @ParameterizedTest
    @CsvSource({"0, 1", "0, 2", "500, 3", "2048, 4"})
    void backloggedAccountsDifferByAtMostOneChargeEachPlusTheSlack(long slack, long seed) {
        FairScheduler<String> scheduler = new FairScheduler<>(new QueueWeights(4, slack, 1.25));
        SplittableRandom random = new SplittableRandom(seed);
        for (int index = 0; index < 1200; index++) {
            String account = index % 6 == 0 ? "quiet" : "flood";
            scheduler.add(request(account, "adapter-" + random.nextInt(8), 1 + random.nextInt(MAXIMUM_TOKENS), 5));
        }
        for (int taken = 0; taken < 300; taken++) {
            QueuedRequest<String> request = next(scheduler);
            batch.add(request.adapter().orElseThrow());
            long difference = servedTokens.getOrDefault("flood", 0L) - servedTokens.getOrDefault("quiet", 0L);
            assertThat(Math.abs(difference)).isLessThanOrEqualTo(2 * MAXIMUM_TOKENS + slack);
        }
    }

    /*
     * Guards against delaying all other accounts while an account that was idle for a long time is served alone, which
     * would happen if its virtual time were not raised to the current one.
     */
    @Test
    void idleAccountAccumulatesNoCredit() {
        FairScheduler<String> scheduler = new FairScheduler<>(QueueWeights.worstAccountFirst());
        scheduler.add(request("late", "adapter", 1, 5));
        next(scheduler);
        for (int index = 0; index < 100; index++) {
            scheduler.add(request("steady", "adapter", 10, 5));
        }
        for (int taken = 0; taken < 50; taken++) {
            next(scheduler);
        }
        servedTokens.clear();
        for (int index = 0; index < 50; index++) {
            scheduler.add(request("late", "adapter", 10, 5));
        }
        for (int taken = 0; taken < 20; taken++) {
            next(scheduler);
        }
        assertThat(servedTokens.get("steady")).isBetween(90L, 110L);
    }

    @Test
    void unusedTokensAreRefunded() {
        FairScheduler<String> scheduler = new FairScheduler<>(QueueWeights.worstAccountFirst());
        for (int index = 0; index < 200; index++) {
            scheduler.add(request("brief", "adapter", 100, 5));
            scheduler.add(request("whole", "adapter", 100, 5));
        }
        Map<String, Integer> used = new HashMap<>();
        for (int taken = 0; taken < 200; taken++) {
            QueuedRequest<String> request = next(scheduler);
            int tokens = request.payload().equals("brief") ? 25 : 100;
            scheduler.onFinished(request, tokens);
            used.merge(request.payload(), tokens, Integer::sum);
        }
        assertThat(used.get("brief")).isCloseTo(used.get("whole"), offset(200));
    }

    @Test
    void higherPriorityGetsMoreWithoutStarvingTheLower() {
        FairScheduler<String> scheduler = new FairScheduler<>(new QueueWeights(4, 0, 1.25));
        for (int index = 0; index < 400; index++) {
            scheduler.add(request("first", "adapter", 10, 9));
            scheduler.add(request("last", "adapter", 10, 0));
        }
        for (int taken = 0; taken < 400; taken++) {
            next(scheduler);
        }
        assertThat((double) servedTokens.get("first") / servedTokens.get("last"))
                .isBetween(6.5, 8.5);
    }

    @Test
    void withinAnAccountAdaptersInTheRunningBatchGoFirst() {
        FairScheduler<String> scheduler = new FairScheduler<>(QueueWeights.fullBatches());
        scheduler.add(request("account", "other", 10, 5));
        scheduler.add(request("account", "running", 10, 5));
        batch.add(AdapterReference.of("running", "1"));
        assertThat(next(scheduler).adapter()).contains(AdapterReference.of("running", "1"));
    }

    @Test
    void tokensAheadOfAQuietAccountExcludeAnotherAccountsBacklog() {
        FairScheduler<String> scheduler = new FairScheduler<>(QueueWeights.worstAccountFirst());
        for (int index = 0; index < 100; index++) {
            scheduler.add(request("flood", "adapter", 100, 5));
        }
        assertThat(scheduler.tokensAhead(request("quiet", "adapter", 100, 5))).isLessThanOrEqualTo(100);
        assertThat(scheduler.tokensAhead(request("flood", "adapter", 100, 5))).isEqualTo(10_000);
    }
}
