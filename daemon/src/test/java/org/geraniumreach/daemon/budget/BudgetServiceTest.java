package org.geraniumreach.daemon.budget;

import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.geraniumreach.daemon.FaultyTable;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.ExecutionStatus;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServingException;
import org.geraniumreach.model.record.Configuration;
import org.geraniumreach.model.record.LogEntry;
import org.geraniumreach.model.record.RecordKey;
import org.geraniumreach.model.record.RecordKind;
import org.geraniumreach.ports.ListedInstance;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BudgetServiceTest {

    private static final AccountId ACCOUNT = AccountId.of("account");
    private static final int FIRST_PORT = 9000;

    private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(4);
    private final FaultyTable table = new FaultyTable(() -> FaultyTable.Fault.NONE);
    private final Map<InstanceId, LocalLinks> network = LocalLinks.network();
    private final List<BudgetService> services = new ArrayList<>();

    @AfterEach
    void stop() {
        services.forEach(BudgetService::close);
        executor.shutdownNow();
    }

    @Test
    void firstEntryHoldsTheWholeShareAndReturnsUnusedTokens() throws Exception {
        BudgetService budget = startAndAwaitShare("one");
        reserve(budget, 1000).get().settle(0);
        assertThat(reserve(budget, 1000).get().tokens()).isEqualTo(1000);
    }

    @Test
    void refusesARequestAboveTheBurst() throws Exception {
        ServingException refusal = refusalOf(reserve(startAndAwaitShare("one"), 1001));
        assertThat(refusal.code()).isEqualTo(ResultCode.REQUEST_ABOVE_BURST);
        assertThat(refusal.executionStatus()).isEqualTo(ExecutionStatus.NO);
    }

    @Test
    void refusesWithRetryAfterWhenTheRateIsTooLowForTheDeadline() throws Exception {
        BudgetService budget = startAndAwaitShare("one");
        reserve(budget, 1000).get();
        ServingException refusal = refusalOf(reserve(budget, 1000));
        assertThat(refusal.code()).isEqualTo(ResultCode.OUT_OF_BUDGET);
        assertThat(refusal.retryAfter())
                .hasValueSatisfying(delay -> assertThat(delay).isPositive());
    }

    @Test
    void entryWithoutAShareBorrowsFromAnotherEntry() throws Exception {
        startAndAwaitShare("one");
        BudgetService second = start("two");
        Optional<Reservation> borrowed = Optional.empty();
        while (borrowed.isEmpty()) {
            borrowed = reserve(second, 100)
                    .handle((reservation, refusal) -> Optional.ofNullable(reservation))
                    .get();
            TimeUnit.MILLISECONDS.sleep(1);
        }
        assertThat(borrowed.get().tokens()).isEqualTo(100);
    }

    @Test
    void leavingEntryReleasesItsSharesToTheNextEntry() throws Exception {
        startAndAwaitShare("one").release().get();
        assertThat(startAndAwaitShare("two").share(ACCOUNT)).isEqualTo(1);
    }

    private BudgetService startAndAwaitShare(String name) throws InterruptedException {
        BudgetService budget = start(name);
        while (budget.share(ACCOUNT) == 0) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        return budget;
    }

    private BudgetService start(String name) {
        InstanceId instance = InstanceId.of(name);
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", FIRST_PORT + services.size());
        MonotonicClock clock = MonotonicClock.system();
        ListedInstance listed =
                new ListedInstance(instance, ListedInstance.Role.ENTRY, FailureDomain.of("domain"), address, false);
        BudgetService budget = new BudgetService(
                settings(),
                new BudgetService.Dependencies(
                        instance,
                        address,
                        1,
                        table,
                        new LocalLinks(instance, network),
                        () -> Optional.of(new EntryListReading(clock.nanos(), List.of(listed))),
                        BudgetServiceTest::configuration,
                        clock,
                        new SecureRandom(),
                        executor));
        services.add(budget);
        budget.start();
        return budget;
    }

    private static BudgetSettings settings() {
        return new BudgetSettings(
                BudgetSettings.Sharing.BY_DEMAND,
                Duration.ofSeconds(1),
                Duration.ofSeconds(30),
                Duration.ofSeconds(1),
                Duration.ofSeconds(60),
                Duration.ofSeconds(2),
                Duration.ofSeconds(1),
                Duration.ofMillis(100),
                Duration.ofMillis(100),
                500);
    }

    private static Configuration configuration() {
        String record = "{\"schemaVersion\": 2, \"tokensPerSecond\": 1, \"burstTokens\": 1000}";
        return Configuration.empty()
                .plus(List.of(new LogEntry(
                        1, "operation", new RecordKey(RecordKind.ACCOUNT, ACCOUNT.value()), Optional.of(record))));
    }

    private static CompletableFuture<Reservation> reserve(BudgetService budget, long tokens) {
        CompletableFuture<Reservation> future = new CompletableFuture<>();
        budget.reserve(ACCOUNT, tokens, Duration.ofSeconds(1), new BudgetCallback() {
            @Override
            public void onGranted(Reservation reservation) {
                future.complete(reservation);
            }

            @Override
            public void onRefused(ServingException refusal) {
                future.completeExceptionally(refusal);
            }
        });
        return future;
    }

    private static ServingException refusalOf(CompletableFuture<Reservation> future) throws InterruptedException {
        try {
            future.get();
            throw new AssertionError("expected a refusal, but the tokens were granted");
        } catch (ExecutionException failure) {
            return (ServingException) failure.getCause();
        }
    }
}
