package org.geraniumreach.daemon.ledger;

import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import com.google.protobuf.ByteString;
import org.geraniumreach.daemon.FaultyTable;
import org.geraniumreach.daemon.FaultyTable.Fault;
import org.geraniumreach.daemon.settings.DataSize;
import org.geraniumreach.link.AttemptHandle;
import org.geraniumreach.link.AttemptListener;
import org.geraniumreach.link.Attempts;
import org.geraniumreach.messages.End;
import org.geraniumreach.messages.Run;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.ExecutionStatus;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServingException;
import org.geraniumreach.ports.ObjectStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class LedgerServiceTest {

    private static final InstanceId COMPANION = InstanceId.of("companion");
    private static final int INLINE_ANSWER_BYTES = 10;
    private static final int OBJECT_ANSWER_BYTES = 100_000;

    private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(4);
    private final AtomicReference<Fault> fault = new AtomicReference<>(Fault.NONE);
    private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
    private final AtomicInteger runs = new AtomicInteger();
    private int answerBytes = INLINE_ANSWER_BYTES;

    @AfterEach
    void stop() {
        executor.shutdownNow();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, INLINE_ANSWER_BYTES, OBJECT_ANSWER_BYTES})
    void secondCallReturnsTheCompleteStoredAnswer(int length) throws Exception {
        answerBytes = length;
        LedgerService ledger = service();
        byte[] first = ledger.perform(request("body"), dispatch()).get().body();
        LedgerAnswer second = ledger.perform(request("body"), dispatch()).get();
        assertThat(second.replayed()).isTrue();
        assertThat(second.body()).isEqualTo(first).hasSize(length);
        assertThat(runs).hasValue(1);
    }

    // Failure: a request runs although its caller is told that it did not. Without the row that keeps a second call
    // from
    // sending, nothing may be sent.
    @Test
    void sendsNothingWhenTheTableServiceIsUnreachable() throws Exception {
        fault.set(Fault.UNREACHABLE);
        ServingException refusal = failureOf(service().perform(request("body"), dispatch()));
        assertThat(refusal.code()).isEqualTo(ResultCode.STORE_UNAVAILABLE);
        assertThat(refusal.executionStatus()).isEqualTo(ExecutionStatus.NO);
        assertThat(runs).hasValue(0);
    }

    @Test
    void refusesAnotherBodyWithTheSameKey() throws Exception {
        LedgerService ledger = service();
        ledger.perform(request("body"), dispatch()).get();
        ServingException refusal = failureOf(ledger.perform(request("another"), dispatch()));
        assertThat(refusal.code()).isEqualTo(ResultCode.IDEMPOTENCY_KEY_REUSED);
    }

    // Failure: a booking sent twice at once is made twice. If both inserts shared a transaction, both conditions would
    // hold and the later write would win; each insert must get its own outcome.
    @Test
    void concurrentCallsWithOneKeyRunOnce() throws Exception {
        LedgerService ledger = service();
        List<CompletableFuture<LedgerAnswer>> calls = new ArrayList<>();
        for (int call = 0; call < 20; call++) {
            calls.add(ledger.perform(request("body"), dispatch()));
        }
        for (CompletableFuture<LedgerAnswer> call : calls) {
            assertThat(call.get().body()).hasSize(INLINE_ANSWER_BYTES);
        }
        assertThat(runs).hasValue(1);
    }

    private static ServingException failureOf(CompletableFuture<LedgerAnswer> call) throws InterruptedException {
        try {
            call.get();
            throw new AssertionError("expected a failure, but the call succeeded");
        } catch (ExecutionException failure) {
            return (ServingException) failure.getCause();
        }
    }

    private static LedgerRequest request(String body) {
        return new LedgerRequest(AccountId.of("account"), "key", "service/book", body.getBytes(StandardCharsets.UTF_8));
    }

    private static Dispatcher dispatch() {
        return new Dispatcher() {
            @Override
            public Optional<Companion> chooseCompanion() {
                return Optional.of(new Companion(COMPANION, 1));
            }

            @Override
            public Run createRun(AttemptId attempt, Companion companion) {
                return Run.getDefaultInstance();
            }
        };
    }

    private LedgerService service() {
        LedgerSettings settings = new LedgerSettings(
                Duration.ofHours(24),
                Duration.ofSeconds(20),
                Duration.ofMillis(10),
                Duration.ofSeconds(60),
                Duration.ofSeconds(10),
                Duration.ofSeconds(10),
                Duration.ofSeconds(10),
                64,
                Duration.ofMillis(4),
                new DataSize(16 * 1024),
                new DataSize(8 * 1024 * 1024),
                Duration.ofSeconds(1),
                200);
        return new LedgerService(
                settings,
                new LedgerService.Dependencies(
                        InstanceId.of("entry"),
                        1,
                        new FaultyTable(fault::get),
                        new InMemoryObjectStore(),
                        new ImmediateAttempts(),
                        entry -> true,
                        companion -> false,
                        Clock.systemUTC(),
                        new java.security.SecureRandom(),
                        executor));
    }

    /** An object store in memory. */
    private final class InMemoryObjectStore implements ObjectStore {

        @Override
        public void put(String key, byte[] content) {
            objects.put(key, content);
        }

        @Override
        public Optional<byte[]> get(String key) {
            return Optional.ofNullable(objects.get(key));
        }
    }

    /** A companion that answers at once in two chunks, on a thread of the executor. */
    private final class ImmediateAttempts implements Attempts {

        @Override
        public AttemptHandle run(InstanceId companion, Run run, AttemptListener listener) {
            executor.execute(() -> {
                runs.incrementAndGet();
                listener.onAccepted();
                listener.onChunk(0, ByteString.copyFrom(new byte[answerBytes / 2]), 0);
                listener.onChunk(1, ByteString.copyFrom(new byte[answerBytes - answerBytes / 2]), 0);
                listener.onEnded(End.newBuilder().setCount(2).build());
            });
            return new NoOpHandle();
        }

        @Override
        public AttemptHandle resume(
                InstanceId companion, String attempt, long incarnation, long nextSequence, AttemptListener listener) {
            listener.onLost(ExecutionStatus.UNKNOWN, "not kept");
            return new NoOpHandle();
        }

        @Override
        public void seal(InstanceId companion, String attempt, long incarnation, Duration age, SealListener listener) {
            listener.onSealed(SealOutcome.STARTED);
        }
    }

    /** A handle that does nothing. */
    private static final class NoOpHandle implements AttemptHandle {

        @Override
        public void request(int chunks) {
            // The simulated companion sends without credit.
        }

        @Override
        public void cancel(String reason) {
            // The attempt has already ended.
        }
    }
}
