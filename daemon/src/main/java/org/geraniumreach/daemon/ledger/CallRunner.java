package org.geraniumreach.daemon.ledger;

import java.util.Base64;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.geraniumreach.coordination.ledger.LedgerAction;
import org.geraniumreach.coordination.ledger.LedgerCall;
import org.geraniumreach.coordination.ledger.SealResult;
import org.geraniumreach.coordination.ledger.StoredAnswer;
import org.geraniumreach.daemon.event.EventLog;
import org.geraniumreach.link.Attempts.SealOutcome;
import org.geraniumreach.messages.Run;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.ExecutionStatus;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServingException;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.ports.PlatformException;

/**
 * Performs the actions of one {@link LedgerCall}.
 *
 * <p>Invariants: events reach the call one at a time, each as the result of its last action; the future is completed once.
 * Blocking platform calls run on the executor. Safe for use by several threads: the call is guarded by this object's lock,
 * which is not held while an action is performed.
 */
final class CallRunner {

    private static final int MAX_OBJECT_PUT_ATTEMPTS = 3;

    private final LedgerService.Dependencies dependencies;
    private final LedgerSettings settings;
    private final GroupCommitter committer;
    private final LedgerCall call;
    private final Dispatcher dispatcher;
    private final CompletableFuture<LedgerAnswer> future = new CompletableFuture<>();
    private volatile byte[] receivedBody;

    CallRunner(
            LedgerService.Dependencies dependencies,
            LedgerSettings settings,
            GroupCommitter committer,
            LedgerCall call,
            Dispatcher dispatcher) {
        this.dependencies = dependencies;
        this.settings = settings;
        this.committer = committer;
        this.call = call;
        this.dispatcher = dispatcher;
    }

    CompletableFuture<LedgerAnswer> run() {
        advance(call::start);
        return future;
    }

    private void advance(Supplier<LedgerAction> event) {
        try {
            LedgerAction action;
            synchronized (this) {
                action = event.get();
            }
            perform(action);
        } catch (RuntimeException fault) {
            EventLog.write(EventCode.UNEXPECTED_FAILURE, fault, "ledger call");
            future.completeExceptionally(
                    ServingException.of(ResultCode.INTERNAL_ERROR, ExecutionStatus.UNKNOWN, "fault in the ledger")
                            .withCause(fault));
        }
    }

    private void perform(LedgerAction action) {
        if (action instanceof LedgerAction.Commit commit) {
            committer.commit(commit.transaction()).thenAccept(this::onCommitFinished);
        } else if (action instanceof LedgerAction.Read read) {
            dependencies.executor().execute(() -> read(read.key()));
        } else if (action instanceof LedgerAction.Wait wait) {
            scheduleWaitFinished(wait.delay().toNanos());
        } else if (action instanceof LedgerAction.Send send) {
            send(send);
        } else if (action instanceof LedgerAction.Seal seal) {
            seal(seal);
        } else if (action instanceof LedgerAction.Resume resume) {
            resume(resume);
        } else if (action instanceof LedgerAction.Reply reply) {
            dependencies.executor().execute(() -> reply(reply));
        } else if (action instanceof LedgerAction.Refuse refuse) {
            refuse(refuse);
        }
    }

    private void scheduleWaitFinished(long nanos) {
        dependencies.executor().schedule(() -> advance(call::onWaitFinished), nanos, TimeUnit.NANOSECONDS);
    }

    private void onCommitFinished(GroupCommitter.Outcome outcome) {
        switch (outcome) {
            case COMMITTED -> advance(call::onCommitted);
            case CONFLICT -> advance(call::onConflict);
            case FAILED -> advance(() -> call.onCommitFailed(false));
            case UNKNOWN -> advance(() -> call.onCommitFailed(true));
            default -> throw new IllegalStateException("unhandled outcome " + outcome);
        }
    }

    private void read(RowKey key) {
        Optional<Row> row;
        try {
            row = dependencies.table().read(key);
        } catch (PlatformException failure) {
            advance(call::onReadFailed);
            return;
        }
        advance(() -> call.onRowRead(row));
    }

    private void send(LedgerAction.Send send) {
        Dispatcher.Companion companion = new Dispatcher.Companion(
                send.companion().instance(), send.companion().incarnation());
        // Another incarnation of the companion must refuse the frame, since it does not know the attempt: a frame that
        // arrives after the attempt was declared lost with the former incarnation would cause a second run.
        Run run = dispatcher.createRun(send.attempt(), companion).toBuilder()
                .setAttempt(send.attempt().value())
                .setCompanionIncarnation(companion.incarnation())
                .setRepeatable(false)
                .setNotAfterMillis(send.notAfter().toEpochMilli())
                .setCredit(AnswerCollector.CREDIT_CHUNKS)
                .build();
        AnswerCollector collector = new AnswerCollector(settings.largestAnswer().bytes(), this::onAttemptEnded);
        collector.start(dependencies.attempts().run(companion.instance(), run, collector));
    }

    private void resume(LedgerAction.Resume resume) {
        EventLog.write(EventCode.ATTEMPT_RESUMED, "attempt {}", resume.attempt());
        AnswerCollector collector = new AnswerCollector(settings.largestAnswer().bytes(), this::onAttemptEnded);
        collector.start(dependencies
                .attempts()
                .resume(
                        resume.companion().instance(),
                        resume.attempt().value(),
                        resume.companion().incarnation(),
                        0,
                        collector));
    }

    private void seal(LedgerAction.Seal seal) {
        dependencies
                .attempts()
                .seal(
                        seal.companion().instance(),
                        seal.attempt().value(),
                        seal.companion().incarnation(),
                        seal.age(),
                        outcome -> advance(() -> call.onSealResult(toSealResult(outcome))));
    }

    private static SealResult toSealResult(SealOutcome outcome) {
        return switch (outcome) {
            case NEVER_STARTED -> SealResult.NEVER_STARTED;
            case STARTED, ENDED -> SealResult.STARTED;
            case OTHER_INCARNATION -> SealResult.NOT_KNOWN;
            case UNREACHABLE -> SealResult.UNREACHABLE;
        };
    }

    private void onAttemptEnded(AnswerCollector.Ending ending) {
        if (ending instanceof AnswerCollector.Ending.Complete whole) {
            receivedBody = whole.body();
            dependencies.executor().execute(() -> {
                StoredAnswer stored = store(whole.body());
                advance(() -> call.onAnswered(stored));
            });
        } else if (ending instanceof AnswerCollector.Ending.Failed givenUp) {
            advance(() -> call.onRefused(givenUp.refusal()));
        } else if (ending instanceof AnswerCollector.Ending.Lost lost) {
            advance(() -> call.onConnectionLost(lost.executionStatus()));
        }
    }

    private StoredAnswer store(byte[] answer) {
        StoredAnswer.Inline inline = new StoredAnswer.Inline(Base64.getEncoder().encodeToString(answer));
        if (answer.length <= settings.largestInline().bytes()) {
            return inline;
        }
        String key = "ledger-" + AttemptId.random(dependencies.random());
        for (int attempt = 0; attempt < MAX_OBJECT_PUT_ATTEMPTS; attempt++) {
            try {
                dependencies.objects().put(key, answer);
                return new StoredAnswer.InObject(key);
            } catch (PlatformException failure) {
                EventLog.write(
                        EventCode.PLATFORM_UNREACHABLE,
                        failure,
                        "object store, storing an answer: {}",
                        failure.getMessage());
            }
        }
        return inline;
    }

    private void reply(LedgerAction.Reply reply) {
        try {
            future.complete(
                    new LedgerAnswer(reply.replayed() ? fetch(reply.answer()) : receivedBody, reply.replayed()));
        } catch (ServingException failure) {
            future.completeExceptionally(failure);
        }
        reply.storeAgainAfter().ifPresent(delay -> scheduleWaitFinished(delay.toNanos()));
    }

    private byte[] fetch(StoredAnswer stored) throws ServingException {
        if (stored instanceof StoredAnswer.Inline inline) {
            return Base64.getDecoder().decode(inline.base64());
        }
        String key = ((StoredAnswer.InObject) stored).key();
        try {
            return dependencies
                    .objects()
                    .get(key)
                    .orElseThrow(() -> ServingException.of(
                            ResultCode.STORE_UNAVAILABLE, ExecutionStatus.YES, "the kept answer is missing: " + key));
        } catch (PlatformException failure) {
            throw ServingException.of(
                            ResultCode.STORE_UNAVAILABLE, ExecutionStatus.YES, "the kept answer cannot be read now")
                    .withRetryAfter(settings.patience())
                    .withCause(failure);
        }
    }

    private void refuse(LedgerAction.Refuse refuse) {
        if (refuse.code() == ResultCode.OUTCOME_UNKNOWN) {
            EventLog.write(EventCode.OUTCOME_UNKNOWN, "{}", refuse.message());
        }
        ServingException failure = ServingException.of(refuse.code(), refuse.executionStatus(), refuse.message());
        future.completeExceptionally(
                refuse.retryAfter().map(failure::withRetryAfter).orElse(failure));
    }
}
