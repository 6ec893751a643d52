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
 * Carries out what one {@link LedgerCall} wants done.
 *
 * <p>Invariants: events reach the call one at a time, each the answer to its last action; the future is completed once.
 * Blocking calls of the platform run on the executor. Safe for use by several threads: the call is under this object's
 * lock, which is not held while an action is carried out.
 */
final class CallRunner {

    private static final int OBJECT_TRIES = 3;

    private final LedgerService.Surroundings surroundings;
    private final LedgerSettings settings;
    private final GroupCommitter groups;
    private final LedgerCall call;
    private final Dispatch dispatch;
    private final CompletableFuture<LedgerAnswer> future = new CompletableFuture<>();
    private volatile byte[] body;

    CallRunner(
            LedgerService.Surroundings surroundings,
            LedgerSettings settings,
            GroupCommitter groups,
            LedgerCall call,
            Dispatch dispatch) {
        this.surroundings = surroundings;
        this.settings = settings;
        this.groups = groups;
        this.call = call;
        this.dispatch = dispatch;
    }

    CompletableFuture<LedgerAnswer> run() {
        step(call::start);
        return future;
    }

    private void step(Supplier<LedgerAction> event) {
        try {
            LedgerAction action;
            synchronized (this) {
                action = event.get();
            }
            carryOut(action);
        } catch (RuntimeException fault) {
            EventLog.write(EventCode.UNEXPECTED_FAILURE, fault, "ledger call");
            future.completeExceptionally(
                    ServingException.of(ResultCode.INTERNAL_ERROR, ExecutionStatus.UNKNOWN, "fault in the ledger")
                            .withCause(fault));
        }
    }

    private void carryOut(LedgerAction action) {
        if (action instanceof LedgerAction.Commit commit) {
            groups.commit(commit.transaction()).thenAccept(this::committed);
        } else if (action instanceof LedgerAction.Read read) {
            surroundings.executor().execute(() -> read(read.key()));
        } else if (action instanceof LedgerAction.Wait wait) {
            later(wait.delay().toNanos());
        } else if (action instanceof LedgerAction.Send send) {
            send(send);
        } else if (action instanceof LedgerAction.Seal seal) {
            seal(seal);
        } else if (action instanceof LedgerAction.Resume resume) {
            resume(resume);
        } else if (action instanceof LedgerAction.Reply reply) {
            surroundings.executor().execute(() -> reply(reply));
        } else if (action instanceof LedgerAction.Refuse refuse) {
            refuse(refuse);
        }
    }

    private void later(long nanos) {
        surroundings.executor().schedule(() -> step(call::waited), nanos, TimeUnit.NANOSECONDS);
    }

    private void committed(GroupCommitter.Outcome outcome) {
        switch (outcome) {
            case COMMITTED -> step(call::committed);
            case CONFLICT -> step(call::conflicted);
            case FAILED -> step(() -> call.commitFailed(false));
            case UNKNOWN -> step(() -> call.commitFailed(true));
            default -> throw new IllegalStateException("unhandled outcome " + outcome);
        }
    }

    private void read(RowKey key) {
        Optional<Row> row;
        try {
            row = surroundings.table().read(key);
        } catch (PlatformException failure) {
            step(call::readFailed);
            return;
        }
        step(() -> call.read(row));
    }

    private void send(LedgerAction.Send send) {
        Dispatch.Companion companion = new Dispatch.Companion(
                send.companion().instance(), send.companion().incarnation());
        // Another start of the companion knows nothing of the attempt, so it must refuse the frame: a frame that
        // comes late, after the attempt was declared lost with the former start, would be a second run.
        Run run = dispatch.runFor(send.attempt(), companion).toBuilder()
                .setAttempt(send.attempt().value())
                .setCompanionIncarnation(companion.incarnation())
                .setRepeatable(false)
                .setNotAfterMillis(send.notAfter().toEpochMilli())
                .setCredit(AnswerCollector.CREDIT)
                .build();
        AnswerCollector collector = new AnswerCollector(settings.largestAnswer().bytes(), this::ended);
        collector.begin(surroundings.attempts().run(companion.instance(), run, collector));
    }

    private void resume(LedgerAction.Resume resume) {
        EventLog.write(EventCode.ATTEMPT_RESUMED, "attempt {}", resume.attempt());
        AnswerCollector collector = new AnswerCollector(settings.largestAnswer().bytes(), this::ended);
        collector.begin(surroundings
                .attempts()
                .resume(
                        resume.companion().instance(),
                        resume.attempt().value(),
                        resume.companion().incarnation(),
                        0,
                        collector));
    }

    private void seal(LedgerAction.Seal seal) {
        surroundings
                .attempts()
                .seal(
                        seal.companion().instance(),
                        seal.attempt().value(),
                        seal.companion().incarnation(),
                        seal.age(),
                        outcome -> step(() -> call.sealed(resultOf(outcome))));
    }

    private static SealResult resultOf(SealOutcome outcome) {
        return switch (outcome) {
            case NEVER_STARTED -> SealResult.NEVER_STARTED;
            case STARTED, ENDED -> SealResult.STARTED;
            case OTHER_INCARNATION -> SealResult.NOT_KNOWN;
            case UNREACHABLE -> SealResult.UNREACHABLE;
        };
    }

    private void ended(AnswerCollector.Ending ending) {
        if (ending instanceof AnswerCollector.Ending.Whole whole) {
            body = whole.body();
            surroundings.executor().execute(() -> {
                StoredAnswer stored = store(whole.body());
                step(() -> call.answered(stored));
            });
        } else if (ending instanceof AnswerCollector.Ending.GivenUp givenUp) {
            step(() -> call.refused(givenUp.refusal()));
        } else if (ending instanceof AnswerCollector.Ending.Lost lost) {
            step(() -> call.lost(lost.ran()));
        }
    }

    private StoredAnswer store(byte[] answer) {
        StoredAnswer.Inline inline = new StoredAnswer.Inline(Base64.getEncoder().encodeToString(answer));
        if (answer.length <= settings.largestInline().bytes()) {
            return inline;
        }
        String key = "ledger-" + AttemptId.random(surroundings.random());
        for (int tries = 0; tries < OBJECT_TRIES; tries++) {
            try {
                surroundings.objects().put(key, answer);
                return new StoredAnswer.InObject(key);
            } catch (PlatformException failure) {
                EventLog.write(EventCode.PLATFORM_UNREACHABLE, failure, "object store: {}", failure.getMessage());
            }
        }
        return inline;
    }

    private void reply(LedgerAction.Reply reply) {
        try {
            future.complete(new LedgerAnswer(reply.replayed() ? fetch(reply.answer()) : body, reply.replayed()));
        } catch (ServingException failure) {
            future.completeExceptionally(failure);
        }
        reply.storeAgainAfter().ifPresent(delay -> later(delay.toNanos()));
    }

    private byte[] fetch(StoredAnswer stored) throws ServingException {
        if (stored instanceof StoredAnswer.Inline inline) {
            return Base64.getDecoder().decode(inline.base64());
        }
        String key = ((StoredAnswer.InObject) stored).key();
        try {
            return surroundings
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
        ServingException failure = ServingException.of(refuse.code(), refuse.ran(), refuse.message());
        future.completeExceptionally(
                refuse.retryAfter().map(failure::withRetryAfter).orElse(failure));
    }
}
