package org.geraniumreach.coordination.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import org.geraniumreach.coordination.SimulatedTable;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.ExecutionStatus;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;

import static org.assertj.core.api.Assertions.assertThat;

/** Simulates entries, companions and a table service, controlled by a fuzzer, and checks the results. */
final class LedgerSimulation {

    static final int ENTRIES = 3;
    static final int COMPANIONS = 2;
    static final int KEYS = 2;

    /** The outcome of a commit that takes effect but whose answer is lost. */
    static final int ANSWER_LOST_OUTCOME = 2;

    private static final Duration COMPANION_RETENTION = Duration.ofSeconds(60);
    private static final LedgerPolicy POLICY = new LedgerPolicy(
            Duration.ofSeconds(2),
            Duration.ofMillis(500),
            Duration.ofSeconds(20),
            Duration.ZERO,
            Duration.ofSeconds(10),
            Duration.ofSeconds(5),
            3,
            2);

    private final SimulatedTable table = new SimulatedTable();
    private final List<SimulatedCompanion> companions = new ArrayList<>();
    private final long[] entryIncarnations = new long[ENTRIES];
    private final List<Call> calls = new ArrayList<>();
    private final List<Frame> frames = new ArrayList<>();
    private final Map<AttemptId, Integer> keyOfAttempt = new HashMap<>();
    private final Map<Integer, List<AttemptId>> startedAttempts = new HashMap<>();
    private final boolean rejectsLateAttempts;
    private Instant currentTime = Instant.EPOCH;
    private int lastAttemptNumber;

    LedgerSimulation() {
        this(true);
    }

    /** Creates a simulation whose companions reject or accept late attempts. */
    LedgerSimulation(boolean rejectsLateAttempts) {
        this.rejectsLateAttempts = rejectsLateAttempts;
        for (int index = 0; index < COMPANIONS; index++) {
            companions.add(new SimulatedCompanion(index));
        }
    }

    /** An attempt in transit to a companion. */
    private record Frame(AttemptId attempt, Companion companion, Instant notAfter) {}

    /** A companion that can restart with a new incarnation. */
    private static final class SimulatedCompanion {
        private final InstanceId instance;
        private long incarnation = 1;
        private final Map<AttemptId, Instant> started = new HashMap<>();
        private final Set<AttemptId> ended = new HashSet<>();
        private final Map<AttemptId, Instant> sealed = new HashMap<>();
        private final Set<AttemptId> refused = new HashSet<>();

        private SimulatedCompanion(int index) {
            instance = InstanceId.of("companion" + index);
        }

        private void restart() {
            incarnation++;
            started.clear();
            ended.clear();
            sealed.clear();
            refused.clear();
        }

        private void forget(Instant oldest) {
            started.entrySet()
                    .removeIf(entry ->
                            ended.contains(entry.getKey()) && entry.getValue().isBefore(oldest));
            sealed.values().removeIf(since -> since.isBefore(oldest));
            refused.retainAll(sealed.keySet());
        }
    }

    /** One call at one entry. */
    private final class Call {
        private final int entry;
        private final int key;
        private final int body;
        private final LedgerCall ledgerCall;
        private final Set<AttemptId> attempts = new HashSet<>();
        private final Set<AttemptId> sent = new HashSet<>();
        private LedgerAction pendingAction;
        /** The answer to the pending action, which has already taken effect. */
        private Optional<Supplier<LedgerAction>> pendingAnswer = Optional.empty();

        private boolean refusedAsNotRun;

        private Call(int entry, int key, int body) {
            this.entry = entry;
            this.key = key;
            this.body = body;
            LedgerContext view = new LedgerContext(
                    () -> currentTime,
                    this::newAttempt,
                    () -> Optional.of(currentCompanion(lastAttemptNumber % COMPANIONS)),
                    LedgerSimulation.this::isLive,
                    companion -> false);
            ledgerCall = new LedgerCall(rowKey(key), "digest" + body, currentSender(entry), POLICY, view);
            pendingAction = ledgerCall.start();
        }

        private AttemptId newAttempt() {
            lastAttemptNumber++;
            AttemptId attempt = AttemptId.of("attempt" + lastAttemptNumber);
            keyOfAttempt.put(attempt, key);
            attempts.add(attempt);
            return attempt;
        }

        private boolean isFinished() {
            return pendingAction instanceof LedgerAction.Done
                    || pendingAction instanceof LedgerAction.Refuse
                    || pendingAction instanceof LedgerAction.Reply reply
                            && reply.storeAgainAfter().isEmpty();
        }
    }

    private static RowKey rowKey(int key) {
        return LedgerRowFormat.keyOf(AccountId.of("account"), "key" + key);
    }

    private Sender currentSender(int entry) {
        return new Sender(InstanceId.of("entry" + entry), entryIncarnations[entry]);
    }

    private boolean isLive(Sender sender) {
        for (int entry = 0; entry < ENTRIES; entry++) {
            if (currentSender(entry).equals(sender)) {
                return true;
            }
        }
        return false;
    }

    private Companion currentCompanion(int index) {
        return new Companion(companions.get(index).instance, companions.get(index).incarnation);
    }

    private Optional<SimulatedCompanion> find(Companion expected) {
        return companions.stream()
                .filter(companion -> companion.instance.equals(expected.instance())
                        && companion.incarnation == expected.incarnation())
                .findFirst();
    }

    void startCall(int entry, int key, int body) {
        calls.add(new Call(entry, key, body));
        assertAtMostOneRun();
    }

    void crashEntry(int entry) {
        entryIncarnations[entry]++;
        calls.removeIf(call -> call.entry == entry && !call.isFinished());
    }

    void restartCompanion(int companion) {
        companions.get(companion).restart();
    }

    void advance(int seconds) {
        currentTime = currentTime.plusSeconds(seconds);
        companions.forEach(companion -> companion.forget(currentTime.minus(COMPANION_RETENTION)));
    }

    void applyDelayed(int choice) {
        table.applyDelayed(choice);
    }

    /** Delivers an attempt, which may be delivered again later. */
    void deliver(int choice, boolean refusing, boolean redelivered) {
        if (frames.isEmpty()) {
            return;
        }
        Frame frame = frames.get(choice % frames.size());
        if (!redelivered) {
            frames.remove(frame);
        }
        // A late frame is dropped without a seal: it may be a second copy of an attempt that ran and whose record was
        // discarded, so a refusal would not prove that it did not run.
        if (!rejectsLateAttempts || !currentTime.isAfter(frame.notAfter())) {
            find(frame.companion()).ifPresent(companion -> receiveAttempt(companion, frame.attempt(), refusing));
        }
        assertAtMostOneRun();
    }

    private void receiveAttempt(SimulatedCompanion companion, AttemptId attempt, boolean refusing) {
        if (companion.sealed.containsKey(attempt) || companion.started.containsKey(attempt)) {
            return;
        }
        if (refusing) {
            companion.sealed.put(attempt, currentTime);
            companion.refused.add(attempt);
            return;
        }
        companion.started.put(attempt, currentTime);
        startedAttempts
                .computeIfAbsent(keyOfAttempt.get(attempt), key -> new ArrayList<>())
                .add(attempt);
    }

    void finishAttempts(int choice) {
        SimulatedCompanion companion = companions.get(choice % COMPANIONS);
        companion.ended.addAll(companion.started.keySet());
    }

    /** Carries out the pending action of one of the open calls, with an outcome chosen by the fuzzer. */
    void progress(int choice, int outcome) {
        List<Call> openCalls = calls.stream().filter(call -> !call.isFinished()).toList();
        if (openCalls.isEmpty()) {
            return;
        }
        progress(openCalls.get(choice % openCalls.size()), outcome);
    }

    /** Carries out the pending action of the call with an index in the order of start. */
    void progressCall(int index, int outcome) {
        progress(calls.get(index), outcome);
    }

    private void progress(Call call, int outcome) {
        if (call.pendingAnswer.isPresent()) {
            call.pendingAction = call.pendingAnswer.get().get();
            call.pendingAnswer = Optional.empty();
        } else {
            carryOut(call, outcome);
        }
        verifyOutcome(call);
        assertAtMostOneRun();
    }

    private void carryOut(Call call, int outcome) {
        LedgerAction action = call.pendingAction;
        if (action instanceof LedgerAction.Commit commit) {
            call.pendingAnswer = Optional.of(commitWithOutcome(call.ledgerCall, commit.transaction(), outcome));
        } else if (action instanceof LedgerAction.Read read) {
            Optional<Row> row = table.read(read.key());
            call.pendingAnswer =
                    Optional.of(outcome == 1 ? call.ledgerCall::onReadFailed : () -> call.ledgerCall.onRowRead(row));
        } else if (action instanceof LedgerAction.Wait || action instanceof LedgerAction.Reply) {
            currentTime = currentTime.plus(POLICY.pollInterval());
            call.pendingAction = call.ledgerCall.onWaitFinished();
        } else if (action instanceof LedgerAction.Send send) {
            sendOrFollow(call, send, outcome);
        } else if (action instanceof LedgerAction.Resume resume) {
            if (outcome == 2) {
                call.pendingAction = call.ledgerCall.onConnectionLost(ExecutionStatus.NO);
            } else {
                awaitAnswer(call, resume.attempt(), resume.companion(), outcome);
            }
        } else if (action instanceof LedgerAction.Seal seal) {
            SealResult result = sealWithOutcome(seal, outcome);
            call.pendingAnswer = Optional.of(() -> call.ledgerCall.onSealResult(result));
        }
    }

    private Supplier<LedgerAction> commitWithOutcome(LedgerCall core, Transaction transaction, int outcome) {
        switch (outcome) {
            case 1:
                return () -> core.onCommitFailed(false);
            case ANSWER_LOST_OUTCOME:
                table.commit(transaction);
                return () -> core.onCommitFailed(true);
            case 3:
                table.delay(transaction);
                return () -> core.onCommitFailed(true);
            default:
                return table.commit(transaction) ? core::onCommitted : core::onConflict;
        }
    }

    /** Sends the attempt, or waits for its answer once it was sent. */
    private void sendOrFollow(Call call, LedgerAction.Send send, int outcome) {
        if (!call.sent.contains(send.attempt()) && outcome == 1) {
            call.pendingAction = call.ledgerCall.onConnectionLost(ExecutionStatus.NO);
        } else if (call.sent.add(send.attempt())) {
            frames.add(new Frame(send.attempt(), send.companion(), send.notAfter()));
        } else {
            awaitAnswer(call, send.attempt(), send.companion(), outcome);
        }
    }

    private void awaitAnswer(Call call, AttemptId attempt, Companion receiver, int outcome) {
        Optional<SimulatedCompanion> companion = find(receiver);
        if (outcome == 1 || companion.isEmpty()) {
            call.pendingAction = call.ledgerCall.onConnectionLost(ExecutionStatus.UNKNOWN);
        } else if (companion.get().ended.contains(attempt)) {
            call.pendingAction = call.ledgerCall.onAnswered(new StoredAnswer.Inline("answer of " + attempt));
        } else if (companion.get().sealed.containsKey(attempt)) {
            call.pendingAction = call.ledgerCall.onRefused(
                    new LedgerAction.Refuse(ResultCode.DRAINING, ExecutionStatus.NO, Optional.empty(), "refused"));
        } else if (frames.stream().noneMatch(frame -> frame.attempt().equals(attempt))
                && !companion.get().started.containsKey(attempt)) {
            call.pendingAction = call.ledgerCall.onConnectionLost(ExecutionStatus.UNKNOWN);
        }
    }

    private SealResult sealWithOutcome(LedgerAction.Seal seal, int outcome) {
        Optional<SimulatedCompanion> companion = find(seal.companion());
        if (outcome == 1) {
            return SealResult.UNREACHABLE;
        }
        if (companion.isEmpty()) {
            return SealResult.NOT_KNOWN;
        }
        SealResult result = sealAttempt(companion.get(), seal);
        return outcome == 2 ? SealResult.UNREACHABLE : result;
    }

    private SealResult sealAttempt(SimulatedCompanion companion, LedgerAction.Seal seal) {
        if (companion.started.containsKey(seal.attempt())) {
            return SealResult.STARTED;
        }
        // An attempt sent before the start of the retained period at the time of the seal may have run and been
        // discarded.
        Instant since = companion.sealed.computeIfAbsent(seal.attempt(), attempt -> currentTime);
        boolean retained = currentTime.minus(seal.age()).isAfter(since.minus(COMPANION_RETENTION))
                || companion.refused.contains(seal.attempt());
        return retained ? SealResult.NEVER_STARTED : SealResult.NOT_KNOWN;
    }

    private void verifyOutcome(Call call) {
        if (call.pendingAction instanceof LedgerAction.Refuse refuse) {
            call.refusedAsNotRun |= refuse.executionStatus() == ExecutionStatus.NO;
        } else if (call.pendingAction instanceof LedgerAction.Reply reply) {
            List<AttemptId> ran = startedAttempts.getOrDefault(call.key, List.of());
            assertThat(reply.answer())
                    .as("the answer is that of the run")
                    .isEqualTo(new StoredAnswer.Inline("answer of " + ran.get(0)));
            assertThat(calls.stream()
                            .filter(other -> other.attempts.contains(ran.get(0)))
                            .allMatch(other -> other.body == call.body))
                    .as("the answer is to the same request")
                    .isTrue();
        }
    }

    private void assertAtMostOneRun() {
        startedAttempts.forEach(
                (key, attempts) -> assertThat(attempts).as("runs of key " + key).hasSizeLessThanOrEqualTo(1));
        for (Call call : calls) {
            if (call.refusedAsNotRun) {
                assertThat(startedAttempts.getOrDefault(call.key, List.of()))
                        .as("runs of a call that was told it has not run")
                        .doesNotContainAnyElementsOf(call.attempts);
            }
        }
    }

    /** Completes one call while the others are frozen. */
    void completeCall(int index) {
        for (int step = 0; step < 200 && !calls.get(index).isFinished(); step++) {
            deliver(0, false, false);
            finishAttempts(step);
            progressCall(index, 0);
        }
    }

    /** Completes every call without further faults. */
    void completeAllCalls() {
        for (int step = 0; step < 800 && calls.stream().anyMatch(call -> !call.isFinished()); step++) {
            deliver(0, false, false);
            finishAttempts(step);
            progress(step, 0);
        }
        assertThat(calls).allMatch(Call::isFinished);
    }
}
