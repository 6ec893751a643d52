package org.geraniumreach.daemon.companion;

import java.time.Duration;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

import org.geraniumreach.link.Peer;
import org.geraniumreach.messages.Acknowledge;
import org.geraniumreach.messages.Cancel;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.Resume;
import org.geraniumreach.messages.Run;
import org.geraniumreach.messages.Seal;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.ExecutionStatus;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServingException;

/**
 * Handles the frames that entries send about attempts.
 *
 * <p>Invariant: an answer about an attempt that this companion does not hold comes from the attempt table, which seals
 * the attempt in the same step; so "not run" stays true if the Run arrives after the answer. Safe for use by several
 * threads.
 */
final class AttemptRequestHandler {

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final Duration RETRY_AFTER = Duration.ofMillis(500);

    private final CompanionSettings settings;
    private final CompanionDependencies dependencies;
    private final AttemptShards attempts;
    private final AttemptLifecycle lifecycle;
    private final StartCheck startCheck;
    private final RunnerProvider runners;
    private final Queue<PreviousResume> pendingResumes = new ConcurrentLinkedQueue<>();

    AttemptRequestHandler(
            CompanionSettings settings,
            CompanionDependencies dependencies,
            AttemptShards attempts,
            AttemptLifecycle lifecycle,
            StartCheck startCheck,
            RunnerProvider runners) {
        this.settings = settings;
        this.dependencies = dependencies;
        this.attempts = attempts;
        this.lifecycle = lifecycle;
        this.startCheck = startCheck;
        this.runners = runners;
    }

    /** Provides the runner of the target. */
    interface RunnerProvider {

        /**
         * Gets the runner for new work.
         *
         * @return the runner, not null
         * @throws ServingException if no new work is accepted
         */
        TargetRunner forNewWork() throws ServingException;

        /**
         * Gets the runner for accepted work, which remains available while no new work is accepted.
         *
         * @return the runner, or empty if the target is not taken over yet
         */
        Optional<TargetRunner> current();
    }

    void onFrame(Peer peer, Frame frame) {
        try {
            switch (frame.getBodyCase()) {
                case RUN -> run(peer, frame.getRun());
                case CANCEL -> cancel(peer, frame.getCancel());
                case RESUME -> resume(peer, frame.getResume());
                case ACKNOWLEDGE -> acknowledge(frame.getAcknowledge());
                case SEAL -> seal(peer, frame.getSeal());
                default -> throw new IllegalArgumentException("not a request: " + frame.getBodyCase());
            }
        } catch (IllegalArgumentException malformed) {
            peer.close("malformed request: " + malformed.getMessage());
        }
    }

    private void run(Peer peer, Run run) {
        CompanionAttempt attempt = CompanionAttempt.ofRun(
                run, peer, settings.bufferedChunks(), dependencies.clock().nanos());
        AttemptTable.AddResult result = attempts.add(attempt);
        if (result == AttemptTable.AddResult.TABLE_FULL) {
            peer.send(Frames.refused(attempt.id(), overloaded("too many attempts are known")));
            return;
        }
        if (result == AttemptTable.AddResult.ALREADY_KNOWN) {
            if (attempts.find(attempt.id()).isEmpty()) {
                answerKnownAttempt(peer, attempt.id(), 0, 0);
            }
            return;
        }
        try {
            TargetRunner runner = admit(run);
            peer.send(Frames.accepted(attempt.id(), dependencies.incarnation()));
            runner.submit(attempt);
        } catch (ServingException refusal) {
            lifecycle.refuse(attempt, refusal);
        }
    }

    private TargetRunner admit(Run run) throws ServingException {
        if (run.getCompanionIncarnation() != 0 && run.getCompanionIncarnation() != dependencies.incarnation()) {
            throw ServingException.notRun(ResultCode.NOT_RUN, "the request is for another start of the companion");
        }
        if (run.getNotAfterMillis() != 0 && dependencies.timeOfDay().millis() > run.getNotAfterMillis()) {
            // The sender was frozen before it sent this attempt, which may have been sealed and forgotten, or run and
            // forgotten, since. It must not start, and nothing proves that it has not run.
            throw ServingException.of(
                    ResultCode.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN, "the request has come too late");
        }
        TargetRunner runner = runners.forNewWork();
        if (runner.unfinishedCount() >= settings.queue().limit()) {
            throw overloaded("the queue of " + dependencies.target() + " is full");
        }
        startCheck.check(run);
        return runner;
    }

    private static ServingException overloaded(String message) {
        return ServingException.notRun(ResultCode.OVERLOADED, message).withRetryAfter(RETRY_AFTER);
    }

    /**
     * Answers a request for an attempt that is known: its output continues over the new link, or the refusal is sent.
     *
     * @param peer the link, not null
     * @param id the attempt, not null
     * @param next the first chunk wanted
     * @param credit how many chunks may be sent
     */
    private void answerKnownAttempt(Peer peer, AttemptId id, long next, int credit) {
        Optional<CompanionAttempt> held = attempts.find(id);
        if (held.isPresent()) {
            if (!held.get().resume(peer, next, credit)) {
                peer.send(Frames.refused(
                        id,
                        ServingException.of(
                                ResultCode.ANSWER_INTERRUPTED, ExecutionStatus.YES, "chunk " + next + " is gone")));
                return;
            }
            runners.current().ifPresent(runner -> runner.onAcknowledged(held.get()));
            return;
        }
        AttemptTable.KnownState state = attempts.knownState(id).orElse(AttemptTable.KnownState.FORGOTTEN);
        peer.send(Frames.refused(id, refusalWithoutOutput(state)));
    }

    private static ServingException refusalWithoutOutput(AttemptTable.KnownState state) {
        return switch (state) {
            case NEVER_STARTED -> ServingException.notRun(
                    ResultCode.NOT_RUN, "the request never started and never will");
            case ENDED -> ServingException.of(
                    ResultCode.ANSWER_INTERRUPTED, ExecutionStatus.YES, "the answer is not kept any more");
            default -> ServingException.of(
                    ResultCode.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN, "nothing is known of the request");
        };
    }

    private void resume(Peer peer, Resume resume) {
        AttemptId id = AttemptId.of(resume.getAttempt());
        boolean isHeld = attempts.find(id).isPresent();
        if (!isHeld && resume.getCompanionIncarnation() != dependencies.incarnation()) {
            resumePrevious(new PreviousResume(peer, resume));
            return;
        }
        if (attempts.knownState(id).isEmpty()) {
            attempts.seal(id, ageNanos(resume.getAgeMillis()));
        }
        answerKnownAttempt(peer, id, resume.getNextSequence(), resume.getCredit());
    }

    /**
     * A Resume for an attempt of a previous incarnation of this companion.
     *
     * @param peer the link over which it arrived
     * @param resume the frame
     */
    private record PreviousResume(Peer peer, Resume resume) {}

    /**
     * Continues an attempt of a previous incarnation if the target still runs it. Until the target is taken over, the
     * Resume is kept pending.
     *
     * @param previous the Resume, not null
     */
    private void resumePrevious(PreviousResume previous) {
        AttemptId id = AttemptId.of(previous.resume().getAttempt());
        if (!previous.resume().getRepeatable() || previous.resume().getAdapter().isEmpty()) {
            refusePrevious(previous.peer(), id);
            return;
        }
        Optional<TargetRunner> runner = runners.current();
        if (runner.isEmpty()) {
            pendingResumes.add(previous);
        } else if (!adopt(runner.get(), previous)) {
            refusePrevious(previous.peer(), id);
        }
    }

    private boolean adopt(TargetRunner runner, PreviousResume previous) {
        Run run = toRun(previous.resume());
        try {
            startCheck.check(run);
        } catch (ServingException refusal) {
            return false;
        }
        CompanionAttempt attempt = CompanionAttempt.ofInheritedStream(
                run,
                previous.resume().getNextSequence(),
                previous.peer(),
                settings.bufferedChunks(),
                dependencies.clock().nanos());
        if (attempts.add(attempt) != AttemptTable.AddResult.ADDED) {
            return false;
        }
        if (runner.adopt(attempt)) {
            return true;
        }
        attempts.end(attempt.id(), true);
        attempts.dropOutput(attempt.id());
        return false;
    }

    private static Run toRun(Resume resume) {
        return Run.newBuilder()
                .setAttempt(resume.getAttempt())
                .setAccount(resume.getAccount())
                .setKeyDigest(resume.getKeyDigest())
                .setAdapter(resume.getAdapter())
                .setVersion(resume.getVersion())
                .setRepeatable(true)
                .setCredit(resume.getCredit())
                .setDeadlineLeftMillis(resume.getDeadlineLeftMillis())
                .build();
    }

    /**
     * Refuses a request for an attempt of a previous incarnation with an unknown outcome. That this incarnation has not
     * seen the attempt does not show what the previous one did: "not run" would be false for an attempt that ran before
     * the restart.
     *
     * @param peer the link, not null
     * @param id the attempt, not null
     */
    private static void refusePrevious(Peer peer, AttemptId id) {
        peer.send(Frames.refused(
                id,
                ServingException.of(
                        ResultCode.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN, "the companion has been restarted")));
    }

    private static long ageNanos(long ageMillis) {
        return ageMillis < 0 ? AttemptTable.AGE_UNKNOWN : ageMillis * NANOS_PER_MILLI;
    }

    private void acknowledge(Acknowledge acknowledge) {
        AttemptId id = AttemptId.of(acknowledge.getAttempt());
        Optional<CompanionAttempt> held = attempts.find(id);
        if (held.isEmpty()) {
            return;
        }
        held.get().acknowledge(acknowledge.getNextSequence(), acknowledge.getCredit());
        runners.current().ifPresent(runner -> runner.onAcknowledged(held.get()));
        dropIfDelivered(held.get());
    }

    private void dropIfDelivered(CompanionAttempt attempt) {
        if (attempt.isDelivered() && attempt.runWithoutBody().getRepeatable()) {
            attempts.dropOutput(attempt.id());
        }
    }

    private void seal(Peer peer, Seal seal) {
        AttemptId id = AttemptId.of(seal.getAttempt());
        if (seal.getCompanionIncarnation() != dependencies.incarnation()) {
            peer.send(Frames.sealedByOtherIncarnation(id, dependencies.incarnation()));
            return;
        }
        Optional<CompanionAttempt> held = attempts.find(id);
        AttemptTable.KnownState state = attempts.seal(id, ageNanos(seal.getAgeMillis()));
        if (state == AttemptTable.KnownState.NEVER_STARTED) {
            held.ifPresent(attempt -> {
                runners.current().ifPresent(runner -> runner.withdraw(attempt));
                lifecycle.refuse(attempt, refusalWithoutOutput(state));
            });
        }
        peer.send(Frames.sealed(id, state, dependencies.incarnation()));
    }

    private void cancel(Peer peer, Cancel cancel) {
        AttemptId id = AttemptId.of(cancel.getAttempt());
        Optional<CompanionAttempt> held = attempts.find(id);
        if (held.isEmpty() && cancel.getCompanionIncarnation() != dependencies.incarnation()) {
            refusePrevious(peer, id);
            return;
        }
        if (held.isEmpty()) {
            attempts.seal(id, ageNanos(cancel.getAgeMillis()));
            answerKnownAttempt(peer, id, 0, 0);
            return;
        }
        cancel(held.get(), ResultCode.CANCELLED, cancel.getReason());
        // The attempt's last frame may be delayed behind chunks without credit or until a call that cannot be cancelled
        // has ended, and it is sent over the link that was resumed last. The sender of the Cancel gets its answer
        // without these delays.
        boolean neverStarted = attempts.knownState(id).equals(Optional.of(AttemptTable.KnownState.NEVER_STARTED));
        ExecutionStatus executionStatus = neverStarted ? ExecutionStatus.NO : ExecutionStatus.YES;
        peer.send(Frames.refused(id, ServingException.of(ResultCode.CANCELLED, executionStatus, cancel.getReason())));
    }

    /**
     * Cancels an attempt: one that waits never starts, one that runs is stopped at the target. A running attempt that
     * is not repeatable continues.
     *
     * @param attempt the attempt, not null
     * @param code the result code sent to its entry, not null
     * @param reason the reason, not null
     */
    void cancel(CompanionAttempt attempt, ResultCode code, String reason) {
        if (attempt.isFinished()) {
            return;
        }
        AttemptTable.KnownState state = attempts.seal(attempt.id(), AttemptTable.AGE_UNKNOWN);
        if (state == AttemptTable.KnownState.NEVER_STARTED) {
            runners.current().ifPresent(runner -> runner.withdraw(attempt));
            lifecycle.refuse(attempt, ServingException.notRun(code, reason));
            return;
        }
        if (!attempt.runWithoutBody().getRepeatable()) {
            return;
        }
        lifecycle.refuse(attempt, ServingException.of(code, ExecutionStatus.YES, reason));
        runners.current().ifPresent(runner -> runner.cancel(attempt));
    }

    /**
     * Ends an attempt because the process stops. A stream at an engine continues there, for the next companion.
     *
     * @param attempt the attempt, not null
     */
    void abort(CompanionAttempt attempt) {
        if (attempt.isFinished()) {
            return;
        }
        boolean neverStarted =
                attempts.seal(attempt.id(), AttemptTable.AGE_UNKNOWN) == AttemptTable.KnownState.NEVER_STARTED;
        lifecycle.refuse(
                attempt,
                neverStarted
                        ? ServingException.notRun(ResultCode.DRAINING, "the companion stops")
                        : ServingException.of(
                                ResultCode.ANSWER_INTERRUPTED, ExecutionStatus.UNKNOWN, "the companion stops"));
    }

    /**
     * Ends attempts that have passed their deadline or lost their entry, and drops output that will not be requested.
     */
    void tick() {
        answerPendingResumes();
        long now = dependencies.clock().nanos();
        long orphanNanos = settings.orphanLimit().toNanos();
        for (CompanionAttempt attempt : attempts.all()) {
            if (attempt.isFinished()) {
                dropIfDelivered(attempt);
                if (attempt.runWithoutBody().getRepeatable() && attempt.isOrphaned(orphanNanos, now)) {
                    attempts.dropOutput(attempt.id());
                }
            } else if (attempt.isExpired(now)) {
                cancel(attempt, ResultCode.DEADLINE_EXCEEDED, "the deadline has passed");
            } else if (attempt.isOrphaned(orphanNanos, now)) {
                cancel(attempt, ResultCode.CANCELLED, "no entry asks for it");
            }
        }
        attempts.expire();
    }

    private void answerPendingResumes() {
        if (runners.current().isEmpty()) {
            return;
        }
        for (PreviousResume previous = pendingResumes.poll(); previous != null; previous = pendingResumes.poll()) {
            resumePrevious(previous);
        }
    }

    /**
     * Queries whether a drain must wait for an attempt.
     *
     * @param attempt the attempt, not null
     * @return true if it is not over, or its end has not yet been delivered to an entry with a link
     */
    boolean blocksDrain(CompanionAttempt attempt) {
        if (!attempt.isFinished()) {
            return true;
        }
        long orphanNanos = settings.orphanLimit().toNanos();
        return !attempt.isDelivered()
                && !attempt.isOrphaned(orphanNanos, dependencies.clock().nanos());
    }
}
