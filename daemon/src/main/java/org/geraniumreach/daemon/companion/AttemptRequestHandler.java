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
 * Answers the frames that entries send about attempts.
 *
 * <p>Invariant: what is answered about an attempt that this companion does not hold comes from the attempt table, which
 * seals it in the same step; so "not run" holds also for a Run that arrives after its answer. Safe for use by several
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
            CompanionDependencies parts,
            AttemptShards attempts,
            AttemptLifecycle outcomes,
            StartCheck startCheck,
            RunnerProvider runners) {
        this.settings = settings;
        this.dependencies = parts;
        this.attempts = attempts;
        this.lifecycle = outcomes;
        this.startCheck = startCheck;
        this.runners = runners;
    }

    /** Gives what runs attempts. */
    interface RunnerProvider {

        /**
         * Gets the runner for new work.
         *
         * @return the runner, not null
         * @throws ServingException if no new work is taken
         */
        TargetRunner forNewWork() throws ServingException;

        /**
         * Gets the runner for work that was taken, also while no new work is.
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
        } catch (IllegalArgumentException invalid) {
            peer.close("refused a request: " + invalid.getMessage());
        }
    }

    private void run(Peer peer, Run run) {
        CompanionAttempt attempt = CompanionAttempt.ofRun(
                run, peer, settings.bufferedChunks(), dependencies.clock().nanos());
        AttemptTable.AddResult taken = attempts.add(attempt);
        if (taken == AttemptTable.AddResult.TABLE_FULL) {
            peer.send(Frames.refused(attempt.id(), overloaded("too many attempts are known")));
            return;
        }
        if (taken == AttemptTable.AddResult.ALREADY_KNOWN) {
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
            // A sender that was frozen sends an attempt that was sealed and forgotten, or that ran and was forgotten.
            // It must not start, and nothing shows that it has not run.
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
     * Answers about an attempt that was seen before: its output goes on over the new link, or its end is told.
     *
     * @param peer the link, not null
     * @param id the attempt, not null
     * @param next the first chunk wanted
     * @param credit how many may be sent
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
        AttemptTable.KnownState seen = attempts.knownState(id).orElse(AttemptTable.KnownState.FORGOTTEN);
        peer.send(Frames.refused(id, refusalWithoutOutput(seen)));
    }

    private static ServingException refusalWithoutOutput(AttemptTable.KnownState seen) {
        return switch (seen) {
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
     * A question for an attempt of a former start of this companion.
     *
     * @param peer the link that it came over
     * @param resume the question
     */
    private record PreviousResume(Peer peer, Resume resume) {}

    /**
     * Goes on with an attempt of a former start, if the target is still running it. Until the target has been looked at,
     * the question waits.
     *
     * @param former the question, not null
     */
    private void resumePrevious(PreviousResume former) {
        AttemptId id = AttemptId.of(former.resume().getAttempt());
        if (!former.resume().getRepeatable() || former.resume().getAdapter().isEmpty()) {
            refusePrevious(former.peer(), id);
            return;
        }
        Optional<TargetRunner> runner = runners.current();
        if (runner.isEmpty()) {
            pendingResumes.add(former);
        } else if (!adopt(runner.get(), former)) {
            refusePrevious(former.peer(), id);
        }
    }

    private boolean adopt(TargetRunner runner, PreviousResume former) {
        Run named = toRun(former.resume());
        try {
            startCheck.check(named);
        } catch (ServingException refused) {
            return false;
        }
        CompanionAttempt attempt = CompanionAttempt.ofInheritedStream(
                named,
                former.resume().getNextSequence(),
                former.peer(),
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
     * Answers about an attempt of a former start of this companion. Not having seen it says nothing of what that one did:
     * "not run" would be false for an attempt that ran before the restart.
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
        AttemptTable.KnownState seen = attempts.seal(id, ageNanos(seal.getAgeMillis()));
        if (seen == AttemptTable.KnownState.NEVER_STARTED) {
            held.ifPresent(attempt -> {
                runners.current().ifPresent(runner -> runner.withdraw(attempt));
                lifecycle.refuse(attempt, refusalWithoutOutput(seen));
            });
        }
        peer.send(Frames.sealed(id, seen, dependencies.incarnation()));
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
        // The attempt's own last frame may wait behind chunks without credit, or for the end of a call that cannot be
        // taken back, and goes over the link that was resumed last. Whoever cancels waits for none of these.
        boolean neverStarted = attempts.knownState(id).equals(Optional.of(AttemptTable.KnownState.NEVER_STARTED));
        ExecutionStatus ran = neverStarted ? ExecutionStatus.NO : ExecutionStatus.YES;
        peer.send(Frames.refused(id, ServingException.of(ResultCode.CANCELLED, ran, cancel.getReason())));
    }

    /**
     * Ends an attempt before its time: one that waits never starts, one that runs is stopped at the target.
     *
     * @param attempt the attempt, not null
     * @param code what its entry is told, not null
     * @param reason why, not null
     */
    void cancel(CompanionAttempt attempt, ResultCode code, String reason) {
        if (attempt.isFinished()) {
            return;
        }
        AttemptTable.KnownState seen = attempts.seal(attempt.id(), AttemptTable.AGE_UNKNOWN);
        if (seen == AttemptTable.KnownState.NEVER_STARTED) {
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
     * Ends an attempt since the process ends; what runs at an engine goes on there, for the next companion.
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

    /** Ends what has passed its deadline or lost its entry, and forgets what nobody will ask for. */
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
        for (PreviousResume former = pendingResumes.poll(); former != null; former = pendingResumes.poll()) {
            resumePrevious(former);
        }
    }

    /**
     * Queries whether a drain has to wait for an attempt.
     *
     * @param attempt the attempt, not null
     * @return true if it is not over, or its end is not yet with an entry that is linked
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
