package org.geraniumreach.link;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.geraniumreach.messages.Acknowledge;
import org.geraniumreach.messages.Cancel;
import org.geraniumreach.messages.Chunk;
import org.geraniumreach.messages.End;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.Refused;
import org.geraniumreach.messages.Resume;
import org.geraniumreach.messages.Run;
import org.geraniumreach.model.ExecutionStatus;
import org.geraniumreach.model.ResultCode;

/**
 * The state machine of one attempt at the entry that sent it: turns frames and link events into actions.
 *
 * <p>Invariants: chunks are reported in sequence order, each once; exactly one end is reported and nothing after it;
 * {@link ExecutionStatus#NO} is reported only if the Run was never handed to a link, or the companion that received it
 * has said so within the time that it remembers attempts. No I/O, threads or clock of its own: times are given in
 * nanoseconds of one monotonic clock. Not safe for use by several threads.
 */
final class AttemptTracker {

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int UNKNOWN_AGE_MILLIS = -1;
    private static final long NO_GAP = -1;
    private static final long ALL_CHUNKS = Long.MAX_VALUE;
    private static final int CHUNKS_PER_ACKNOWLEDGEMENT = 32;

    private final Run run;
    private final long incarnation;
    private final Limits limits;
    private final boolean startedEarlier;
    private final long startNanos;
    private final long creditWindow;
    private long nextSequence;
    private long grantedUpTo;
    private long announcedUpTo;
    private long acknowledgedUpTo;
    private long requestedGap = NO_GAP;
    private long unlinkedSinceNanos;
    private long lastRequestNanos;
    private boolean linked = true;
    private boolean done;
    private boolean droppedChunks;
    private String cancelReason;

    private AttemptTracker(
            Run run, long incarnation, Limits limits, boolean startedEarlier, long nextSequence, long now) {
        this.run = run;
        this.incarnation = incarnation;
        this.limits = limits;
        this.startedEarlier = startedEarlier;
        this.nextSequence = nextSequence;
        this.startNanos = now;
        this.lastRequestNanos = now;
        this.creditWindow = Math.max(1, run.getCredit());
        this.grantedUpTo = nextSequence + run.getCredit();
        this.announcedUpTo = grantedUpTo;
        this.acknowledgedUpTo = nextSequence;
    }

    /**
     * Time limits of an attempt.
     *
     * @param resumeLimit how long to wait for a new link after a loss
     * @param answerLimit the maximum delay after which a "not run" answer is still trusted
     * @param deadlineGrace how long after the deadline an answer is still accepted
     */
    record Limits(Duration resumeLimit, Duration answerLimit, Duration deadlineGrace) {}

    /**
     * Creates the tracker of an attempt that this process starts.
     *
     * @param run the attempt, not null
     * @param incarnation the companion's incarnation on the link used to send the Run
     * @param limits the limits, not null
     * @param now the current time
     * @return the tracker, not null
     */
    static AttemptTracker ofRun(Run run, long incarnation, Limits limits, long now) {
        return new AttemptTracker(run, incarnation, limits, false, 0, now);
    }

    /**
     * Creates the tracker of an attempt that was started earlier, possibly by another process.
     *
     * @param run the known fields of the attempt, at least its id and credit, not null
     * @param incarnation the companion's incarnation that the attempt was sent to
     * @param nextSequence the sequence number of the first chunk to receive
     * @param limits the limits, not null
     * @param now the current time
     * @return the tracker, not null
     */
    static AttemptTracker ofResume(Run run, long incarnation, long nextSequence, Limits limits, long now) {
        return new AttemptTracker(run, incarnation, limits, true, nextSequence, now);
    }

    /**
     * Returns the first frame to send: a Run, or a Resume if the attempt was started earlier.
     *
     * @param now the current time
     * @return the actions to perform, not null
     */
    List<AttemptAction> start(long now) {
        lastRequestNanos = now;
        return startedEarlier
                ? List.of(resumeFrame(now))
                : List.of(send(Frame.newBuilder().setRun(run)));
    }

    /**
     * Handles that the first frame was not handed to a link, so no byte of it was sent.
     *
     * @param reason why it was not sent, not null
     * @return the actions to perform, not null
     */
    List<AttemptAction> onNeverSent(String reason) {
        return finish(
                new AttemptAction.NotifyLost(startedEarlier ? ExecutionStatus.UNKNOWN : ExecutionStatus.NO, reason));
    }

    /**
     * Handles that no link is open for the first frame.
     *
     * @param now the current time
     * @return the actions to perform, not null
     */
    List<AttemptAction> onNoLink(long now) {
        if (!startedEarlier) {
            return onNeverSent("no link to the companion");
        }
        onLinkLost(now);
        return List.of();
    }

    /**
     * Handles the loss of the current link. Frames sent over it may or may not have arrived.
     *
     * @param now the current time
     */
    void onLinkLost(long now) {
        if (linked) {
            linked = false;
            unlinkedSinceNanos = now;
        }
    }

    /**
     * Handles a new link to the companion's instance.
     *
     * @param openIncarnation the companion's incarnation on the new link
     * @param now the current time
     * @return the actions to perform, not null
     */
    List<AttemptAction> onLinkOpened(long openIncarnation, long now) {
        if (done) {
            return List.of();
        }
        linked = true;
        if (openIncarnation != incarnation && !run.getRepeatable()) {
            // Whether the previous process had started the attempt is lost. Any status but UNKNOWN could make an entry
            // send a booking twice.
            return finish(new AttemptAction.NotifyLost(ExecutionStatus.UNKNOWN, "the companion has restarted"));
        }
        return List.of(cancelReason == null ? resumeFrame(now) : cancelFrame(now));
    }

    List<AttemptAction> onAccepted() {
        return done ? List.of() : List.of(new AttemptAction.NotifyAccepted());
    }

    /**
     * Handles a chunk; duplicates are ignored and a gap causes a Resume.
     *
     * @param chunk the chunk, not null
     * @param now the current time
     * @return the actions to perform, not null
     */
    List<AttemptAction> onChunk(Chunk chunk, long now) {
        if (done || chunk.getSequence() < nextSequence) {
            return List.of();
        }
        if (chunk.getSequence() > nextSequence) {
            return resumeAtGap(now);
        }
        nextSequence++;
        if (cancelReason != null) {
            droppedChunks = true;
            return List.of();
        }
        List<AttemptAction> actions = new ArrayList<>();
        actions.add(new AttemptAction.NotifyChunk(chunk.getSequence(), chunk.getPayload(), chunk.getTokens()));
        addAcknowledgementIfDue(actions);
        return actions;
    }

    /**
     * Handles the end of the answer.
     *
     * @param end the end, not null
     * @param now the current time
     * @return the actions to perform, not null
     */
    List<AttemptAction> onEnded(End end, long now) {
        if (done) {
            return List.of();
        }
        if (end.getCount() > nextSequence) {
            return resumeAtGap(now);
        }
        if (end.getCount() < nextSequence) {
            return finish(new AttemptAction.NotifyLost(
                    ExecutionStatus.UNKNOWN,
                    "the end counts " + end.getCount() + " chunks and " + nextSequence + " have come"));
        }
        if (droppedChunks) {
            // The end was sent before the cancel arrived, and chunks received since the cancel were dropped, so the
            // answer is incomplete.
            return acknowledgeAndFinish(new AttemptAction.NotifyRefused(refusal(ResultCode.CANCELLED, cancelReason)));
        }
        if (!isRequestedAdapter(end)) {
            String message = "the target ran " + end.getAdapter() + "@" + end.getVersion();
            return acknowledgeAndFinish(
                    new AttemptAction.NotifyRefused(refusal(ResultCode.WRONG_ADAPTER_SERVED, message)));
        }
        return acknowledgeAndFinish(new AttemptAction.NotifyEnded(end));
    }

    /**
     * Ends the attempt with its companion's answer and acknowledges it, so that the companion can discard the attempt's
     * state.
     *
     * @param last the final notification, not null
     * @return the actions to perform, not null
     */
    private List<AttemptAction> acknowledgeAndFinish(AttemptAction last) {
        List<AttemptAction> actions = new ArrayList<>();
        actions.add(send(Frame.newBuilder()
                .setAcknowledge(
                        Acknowledge.newBuilder().setAttempt(run.getAttempt()).setNextSequence(ALL_CHUNKS))));
        actions.addAll(finish(last));
        return actions;
    }

    private boolean isRequestedAdapter(End end) {
        return run.getAdapter().isEmpty()
                || run.getAdapter().equals(end.getAdapter()) && run.getVersion().equals(end.getVersion());
    }

    private Refused refusal(ResultCode code, String message) {
        return Refused.newBuilder()
                .setAttempt(run.getAttempt())
                .setCode(code.number())
                .setMessage(message)
                .setRan(ExecutionStatus.YES.ordinal())
                .build();
    }

    /**
     * Handles a refusal; a "not run" that cannot be trusted is reported as unknown.
     *
     * @param refused the refusal, not null
     * @param now the current time
     * @return the actions to perform, not null
     */
    List<AttemptAction> onRefused(Refused refused, long now) {
        if (done) {
            return List.of();
        }
        if (refused.getRan() != ExecutionStatus.NO.ordinal() || isNotRunTrusted(refused, now)) {
            return acknowledgeAndFinish(new AttemptAction.NotifyRefused(refused));
        }
        return acknowledgeAndFinish(new AttemptAction.NotifyRefused(
                refused.toBuilder().setRan(ExecutionStatus.UNKNOWN.ordinal()).build()));
    }

    /**
     * Decides whether a "not run" answer is trusted. A companion remembers an attempt for a limited time, counted from
     * the last request; after that, an attempt that ran looks like one that it never received. So an answer that took
     * longer is not trusted, nor is one that contradicts chunks already received.
     *
     * @param refused a refusal that says "not run", not null
     * @param now the current time
     * @return true if the answer is reported to the listener unchanged
     */
    private boolean isNotRunTrusted(Refused refused, long now) {
        boolean withinLimit = now - lastRequestNanos <= limits.answerLimit().toNanos();
        return nextSequence == 0 && (withinLimit || refused.getCode() != ResultCode.NOT_RUN.number());
    }

    /**
     * Grants credit for more chunks.
     *
     * @param chunks the number of additional chunks, at least 1
     * @return the actions to perform, not null
     */
    List<AttemptAction> request(int chunks) {
        if (done) {
            return List.of();
        }
        grantedUpTo += chunks;
        List<AttemptAction> actions = new ArrayList<>();
        addAcknowledgementIfDue(actions);
        return actions;
    }

    /**
     * Adds an Acknowledge frame when half of the credit window is used up or enough chunks are unacknowledged. This
     * needs fewer frames than one for each chunk and never stalls the stream while the caller reads.
     *
     * @param actions the list that the frame is added to
     */
    private void addAcknowledgementIfDue(List<AttemptAction> actions) {
        boolean needsCredit = grantedUpTo > announcedUpTo && announcedUpTo - nextSequence <= creditWindow / 2;
        boolean needsAcknowledgement = nextSequence - acknowledgedUpTo >= CHUNKS_PER_ACKNOWLEDGEMENT;
        if (!linked || !needsCredit && !needsAcknowledgement) {
            return;
        }
        announcedUpTo = grantedUpTo;
        acknowledgedUpTo = nextSequence;
        actions.add(send(Frame.newBuilder()
                .setAcknowledge(Acknowledge.newBuilder()
                        .setAttempt(run.getAttempt())
                        .setNextSequence(nextSequence)
                        .setCredit(remainingCredit()))));
    }

    /**
     * Cancels the attempt. Its end is still reported by the companion or by the companion's loss.
     *
     * @param reason why it is cancelled, not null
     * @param now the current time
     * @return the actions to perform, not null
     */
    List<AttemptAction> cancel(String reason, long now) {
        if (done || cancelReason != null) {
            return List.of();
        }
        cancelReason = reason;
        return linked ? List.of(cancelFrame(now)) : List.of();
    }

    /**
     * Checks the time limits.
     *
     * @param now the current time
     * @return the actions to perform, not null
     */
    List<AttemptAction> tick(long now) {
        if (done) {
            return List.of();
        }
        if (!linked && now - unlinkedSinceNanos > limits.resumeLimit().toNanos()) {
            return finish(new AttemptAction.NotifyLost(ExecutionStatus.UNKNOWN, "no link to the companion"));
        }
        long answerBy = run.getDeadlineLeftMillis() * NANOS_PER_MILLI
                + limits.deadlineGrace().toNanos();
        if (run.getDeadlineLeftMillis() > 0 && now - startNanos > answerBy) {
            List<AttemptAction> actions = new ArrayList<>();
            actions.add(cancelFrame(now));
            actions.addAll(finish(new AttemptAction.NotifyLost(ExecutionStatus.UNKNOWN, "no end by the deadline")));
            return actions;
        }
        return List.of();
    }

    boolean isDone() {
        return done;
    }

    private List<AttemptAction> resumeAtGap(long now) {
        if (requestedGap == nextSequence || cancelReason != null) {
            return List.of();
        }
        requestedGap = nextSequence;
        return List.of(resumeFrame(now));
    }

    private List<AttemptAction> finish(AttemptAction last) {
        if (done) {
            return List.of();
        }
        done = true;
        return List.of(last);
    }

    private AttemptAction resumeFrame(long now) {
        lastRequestNanos = now;
        announcedUpTo = grantedUpTo;
        acknowledgedUpTo = nextSequence;
        return send(Frame.newBuilder()
                .setResume(Resume.newBuilder()
                        .setAttempt(run.getAttempt())
                        .setNextSequence(nextSequence)
                        .setCredit(remainingCredit())
                        .setAgeMillis(ageMillis(now))
                        .setCompanionIncarnation(incarnation)
                        .setAccount(run.getAccount())
                        .setKeyDigest(run.getKeyDigest())
                        .setAdapter(run.getAdapter())
                        .setVersion(run.getVersion())
                        .setRepeatable(run.getRepeatable())
                        .setDeadlineLeftMillis(deadlineLeftMillis(now))));
    }

    private AttemptAction cancelFrame(long now) {
        lastRequestNanos = now;
        return send(Frame.newBuilder()
                .setCancel(Cancel.newBuilder()
                        .setAttempt(run.getAttempt())
                        .setReason(cancelReason == null ? "" : cancelReason)
                        .setCompanionIncarnation(incarnation)
                        .setAgeMillis(ageMillis(now))));
    }

    private int remainingCredit() {
        return (int) Math.min(Integer.MAX_VALUE, Math.max(0, grantedUpTo - nextSequence));
    }

    private long ageMillis(long now) {
        return startedEarlier ? UNKNOWN_AGE_MILLIS : (now - startNanos) / NANOS_PER_MILLI + 1;
    }

    private long deadlineLeftMillis(long now) {
        if (run.getDeadlineLeftMillis() == 0) {
            return 0;
        }
        return Math.max(1, run.getDeadlineLeftMillis() - (now - startNanos) / NANOS_PER_MILLI);
    }

    private static AttemptAction send(Frame.Builder frame) {
        return new AttemptAction.Send(frame.build());
    }
}
