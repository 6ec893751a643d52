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
 * Decides, at the entry that sent an attempt, what its frames and the loss of its links mean.
 *
 * <p>Invariants: chunks are told in the order of their sequence, each once; exactly one end is told and nothing after it;
 * {@link ExecutionStatus#NO} is told only if the Run was never handed to a link, or the companion that it went to has said so in time
 * to still know. No I/O, threads or clock of its own: times are given in nanoseconds of one monotonic clock. Not safe for
 * use by several threads.
 */
final class AttemptTracker {

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int UNKNOWN_AGE = -1;
    private static final long NOWHERE = -1;
    private static final long ALL = Long.MAX_VALUE;
    private static final int ACKNOWLEDGE_EVERY = 32;

    private final Run run;
    private final long incarnation;
    private final Limits limits;
    private final boolean resumedFromElsewhere;
    private final long startedAt;
    private final long window;
    private long nextSequence;
    private long granted;
    private long announced;
    private long acknowledged;
    private long gapAt = NOWHERE;
    private long unlinkedSince;
    private long askedAt;
    private boolean linked = true;
    private boolean done;
    private boolean isIncomplete;
    private String cancelReason;

    private AttemptTracker(
            Run run, long incarnation, Limits limits, boolean resumedFromElsewhere, long nextSequence, long now) {
        this.run = run;
        this.incarnation = incarnation;
        this.limits = limits;
        this.resumedFromElsewhere = resumedFromElsewhere;
        this.nextSequence = nextSequence;
        this.startedAt = now;
        this.askedAt = now;
        this.window = Math.max(1, run.getCredit());
        this.granted = nextSequence + run.getCredit();
        this.announced = granted;
        this.acknowledged = nextSequence;
    }

    /**
     * The limits of waiting.
     *
     * @param resume how long to wait for a new link
     * @param answer how long an answer that says "not run" may take to be believed
     * @param deadlineGrace how long after the deadline an answer may come
     */
    record Limits(Duration resume, Duration answer, Duration deadlineGrace) {}

    /**
     * Makes the tracker of an attempt that this process starts.
     *
     * @param run the attempt, not null
     * @param incarnation the companion's incarnation on the link that the Run is about to be sent over
     * @param limits the limits, not null
     * @param now the time
     * @return the tracker, not null
     */
    static AttemptTracker ofRun(Run run, long incarnation, Limits limits, long now) {
        return new AttemptTracker(run, incarnation, limits, false, 0, now);
    }

    /**
     * Makes the tracker of an attempt that was started earlier, maybe elsewhere.
     *
     * @param named what is known of the attempt, at least its id and the credit, not null
     * @param incarnation the companion's incarnation that it was sent to
     * @param nextSequence the first chunk wanted
     * @param limits the limits, not null
     * @param now the time
     * @return the tracker, not null
     */
    static AttemptTracker ofResume(Run named, long incarnation, long nextSequence, Limits limits, long now) {
        return new AttemptTracker(named, incarnation, limits, true, nextSequence, now);
    }

    /**
     * Sends the first frame.
     *
     * @param now the time
     * @return what to do, not null
     */
    List<AttemptAction> start(long now) {
        askedAt = now;
        return resumedFromElsewhere
                ? List.of(resume(now))
                : List.of(send(Frame.newBuilder().setRun(run)));
    }

    /**
     * Notes that the Run was not handed to a link, so no byte of it has left.
     *
     * @param reason why, not null
     * @return what to do, not null
     */
    List<AttemptAction> neverSent(String reason) {
        return end(new AttemptAction.TellLost(
                resumedFromElsewhere ? ExecutionStatus.UNKNOWN : ExecutionStatus.NO, reason));
    }

    /**
     * Notes that there is no link to send the first frame over.
     *
     * @param now the time
     * @return what to do, not null
     */
    List<AttemptAction> noLink(long now) {
        if (!resumedFromElsewhere) {
            return neverSent("no link to the companion");
        }
        linkLost(now);
        return List.of();
    }

    /**
     * Notes that the link in use is closed. What was sent over it may or may not have arrived.
     *
     * @param now the time
     */
    void linkLost(long now) {
        if (linked) {
            linked = false;
            unlinkedSince = now;
        }
    }

    /**
     * Notes that a new link to the companion's instance is open.
     *
     * @param openIncarnation the incarnation at its other end
     * @param now the time
     * @return what to do, not null
     */
    List<AttemptAction> linkOpened(long openIncarnation, long now) {
        if (done) {
            return List.of();
        }
        linked = true;
        if (openIncarnation != incarnation && !run.getRepeatable()) {
            // Whether the former process had started the attempt died with it. Anything but "unknown" could make an
            // entry send a booking twice.
            return end(new AttemptAction.TellLost(ExecutionStatus.UNKNOWN, "the companion has restarted"));
        }
        return List.of(cancelReason == null ? resume(now) : cancelFrame(now));
    }

    List<AttemptAction> accepted() {
        return done ? List.of() : List.of(new AttemptAction.TellAccepted());
    }

    /**
     * Takes a chunk.
     *
     * @param chunk the chunk, not null
     * @param now the time
     * @return what to do, not null
     */
    List<AttemptAction> chunk(Chunk chunk, long now) {
        if (done || chunk.getSequence() < nextSequence) {
            return List.of();
        }
        if (chunk.getSequence() > nextSequence) {
            return askAgain(now);
        }
        nextSequence++;
        if (cancelReason != null) {
            isIncomplete = true;
            return List.of();
        }
        List<AttemptAction> actions = new ArrayList<>();
        actions.add(new AttemptAction.TellChunk(chunk.getSequence(), chunk.getPayload(), chunk.getTokens()));
        announceCredit(actions);
        return actions;
    }

    /**
     * Takes the end.
     *
     * @param end the end, not null
     * @param now the time
     * @return what to do, not null
     */
    List<AttemptAction> ended(End end, long now) {
        if (done) {
            return List.of();
        }
        if (end.getCount() > nextSequence) {
            return askAgain(now);
        }
        if (end.getCount() < nextSequence) {
            return end(new AttemptAction.TellLost(
                    ExecutionStatus.UNKNOWN,
                    "the end counts " + end.getCount() + " chunks and " + nextSequence + " have come"));
        }
        if (isIncomplete) {
            // The end crossed with the cancel; without the chunks dropped since, the answer is not whole.
            return acknowledgedEnd(new AttemptAction.TellRefused(refusal(ResultCode.CANCELLED, cancelReason)));
        }
        if (!isNamed(end)) {
            String message = "the target ran " + end.getAdapter() + "@" + end.getVersion();
            return acknowledgedEnd(new AttemptAction.TellRefused(refusal(ResultCode.WRONG_ADAPTER_SERVED, message)));
        }
        return acknowledgedEnd(new AttemptAction.TellEnded(end));
    }

    /**
     * Ends the attempt with what its companion said, and lets the companion drop what it keeps.
     *
     * @param last what to tell, not null
     * @return what to do, not null
     */
    private List<AttemptAction> acknowledgedEnd(AttemptAction last) {
        List<AttemptAction> actions = new ArrayList<>();
        actions.add(send(Frame.newBuilder()
                .setAcknowledge(
                        Acknowledge.newBuilder().setAttempt(run.getAttempt()).setNextSequence(ALL))));
        actions.addAll(end(last));
        return actions;
    }

    private boolean isNamed(End end) {
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
     * Takes a refusal.
     *
     * @param refused the refusal, not null
     * @param now the time
     * @return what to do, not null
     */
    List<AttemptAction> refused(Refused refused, long now) {
        if (done) {
            return List.of();
        }
        if (refused.getRan() != ExecutionStatus.NO.ordinal() || isBelieved(refused, now)) {
            return acknowledgedEnd(new AttemptAction.TellRefused(refused));
        }
        return acknowledgedEnd(new AttemptAction.TellRefused(
                refused.toBuilder().setRan(ExecutionStatus.UNKNOWN.ordinal()).build()));
    }

    /**
     * Decides whether "not run" is shown. A companion keeps what it knows of an attempt for a limited time, counted from
     * when it was asked; after that an attempt that ran looks like one that it never saw. So an answer that took longer
     * is not believed, and neither is one that contradicts chunks already here.
     *
     * @param refused a refusal that says "not run", not null
     * @param now the time
     * @return true if it is shown
     */
    private boolean isBelieved(Refused refused, long now) {
        boolean inTime = now - askedAt <= limits.answer().toNanos();
        return nextSequence == 0 && (inTime || refused.getCode() != ResultCode.NOT_RUN.number());
    }

    /**
     * Lets more chunks come.
     *
     * @param chunks how many more, at least 1
     * @return what to do, not null
     */
    List<AttemptAction> request(int chunks) {
        if (done) {
            return List.of();
        }
        granted += chunks;
        List<AttemptAction> actions = new ArrayList<>();
        announceCredit(actions);
        return actions;
    }

    /**
     * Announces credit when half of the window is used up, and acknowledges now and then: fewer frames than one for each
     * chunk, yet never a halt while the caller reads on.
     *
     * @param actions to which the frame is added
     */
    private void announceCredit(List<AttemptAction> actions) {
        boolean needsCredit = granted > announced && announced - nextSequence <= window / 2;
        boolean needsAcknowledgement = nextSequence - acknowledged >= ACKNOWLEDGE_EVERY;
        if (!linked || !needsCredit && !needsAcknowledgement) {
            return;
        }
        announced = granted;
        acknowledged = nextSequence;
        actions.add(send(Frame.newBuilder()
                .setAcknowledge(Acknowledge.newBuilder()
                        .setAttempt(run.getAttempt())
                        .setNextSequence(nextSequence)
                        .setCredit(credit()))));
    }

    /**
     * Gives the attempt up; its end still comes from the companion, or from its loss.
     *
     * @param reason why, not null
     * @param now the time
     * @return what to do, not null
     */
    List<AttemptAction> cancel(String reason, long now) {
        if (done || cancelReason != null) {
            return List.of();
        }
        cancelReason = reason;
        return linked ? List.of(cancelFrame(now)) : List.of();
    }

    /**
     * Notes that time has passed.
     *
     * @param now the time
     * @return what to do, not null
     */
    List<AttemptAction> tick(long now) {
        if (done) {
            return List.of();
        }
        if (!linked && now - unlinkedSince > limits.resume().toNanos()) {
            return end(new AttemptAction.TellLost(ExecutionStatus.UNKNOWN, "no link to the companion"));
        }
        long answerBy = run.getDeadlineLeftMillis() * NANOS_PER_MILLI
                + limits.deadlineGrace().toNanos();
        if (run.getDeadlineLeftMillis() > 0 && now - startedAt > answerBy) {
            List<AttemptAction> actions = new ArrayList<>();
            actions.add(cancelFrame(now));
            actions.addAll(end(new AttemptAction.TellLost(ExecutionStatus.UNKNOWN, "no end by the deadline")));
            return actions;
        }
        return List.of();
    }

    boolean isDone() {
        return done;
    }

    private List<AttemptAction> askAgain(long now) {
        if (gapAt == nextSequence || cancelReason != null) {
            return List.of();
        }
        gapAt = nextSequence;
        return List.of(resume(now));
    }

    private List<AttemptAction> end(AttemptAction last) {
        if (done) {
            return List.of();
        }
        done = true;
        return List.of(last);
    }

    private AttemptAction resume(long now) {
        askedAt = now;
        announced = granted;
        acknowledged = nextSequence;
        return send(Frame.newBuilder()
                .setResume(Resume.newBuilder()
                        .setAttempt(run.getAttempt())
                        .setNextSequence(nextSequence)
                        .setCredit(credit())
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
        askedAt = now;
        return send(Frame.newBuilder()
                .setCancel(Cancel.newBuilder()
                        .setAttempt(run.getAttempt())
                        .setReason(cancelReason == null ? "" : cancelReason)
                        .setCompanionIncarnation(incarnation)
                        .setAgeMillis(ageMillis(now))));
    }

    private int credit() {
        return (int) Math.min(Integer.MAX_VALUE, Math.max(0, granted - nextSequence));
    }

    private long ageMillis(long now) {
        return resumedFromElsewhere ? UNKNOWN_AGE : (now - startedAt) / NANOS_PER_MILLI + 1;
    }

    private long deadlineLeftMillis(long now) {
        if (run.getDeadlineLeftMillis() == 0) {
            return 0;
        }
        return Math.max(1, run.getDeadlineLeftMillis() - (now - startedAt) / NANOS_PER_MILLI);
    }

    private static AttemptAction send(Frame.Builder frame) {
        return new AttemptAction.Send(frame.build());
    }
}
