package org.geraniumreach.daemon.configuration;

import java.time.Duration;
import java.util.Objects;
import java.util.random.RandomGenerator;

import org.geraniumreach.coordination.configuration.Submission;
import org.geraniumreach.coordination.configuration.SubmissionProcess;
import org.geraniumreach.coordination.configuration.SubmissionResult;
import org.geraniumreach.coordination.configuration.SubmissionStep;
import org.geraniumreach.daemon.event.EventLog;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.record.LogEntry;
import org.geraniumreach.model.record.RecordException;
import org.geraniumreach.ports.PlatformException;
import org.geraniumreach.ports.TableService;

/**
 * Commits operators' submissions to the change log.
 *
 * <p>Invariant: a submission is reported as accepted only after the commit is known, the change is in force here and was
 * sent to the peers, and another entry has confirmed that it holds the change or the time limit for that has passed. Safe
 * for use by several threads; {@link #submit} blocks.
 */
public final class Submitter {

    private static final Duration HOLDER_CHECK_INTERVAL = Duration.ofMillis(10);

    private final ReplicatedConfiguration configuration;
    private final ConfigurationSettings settings;
    private final TableService table;
    private final ConfigurationReader reader;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private volatile boolean closed;

    /**
     * Creates a submitter.
     *
     * @param configuration the configuration of this process, not null
     * @param settings the settings, not null
     * @param table the platform's table, not null
     * @param clock the clock, not null
     * @param random the source of jitter, safe for use by several threads, not null
     */
    public Submitter(
            ReplicatedConfiguration configuration,
            ConfigurationSettings settings,
            TableService table,
            MonotonicClock clock,
            RandomGenerator random) {
        this.configuration = Objects.requireNonNull(configuration, "configuration");
        this.settings = Objects.requireNonNull(settings, "settings");
        this.table = Objects.requireNonNull(table, "table");
        this.reader = new ConfigurationReader(table, clock);
        this.clock = Objects.requireNonNull(clock, "clock");
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * The result of a submission and the number of other entries that hold the change.
     *
     * @param result the result
     * @param otherHolderCount the number of other entries known to hold an accepted change, 0 if it was refused
     */
    public record Outcome(SubmissionResult result, int otherHolderCount) {}

    /** Marks this submitter as closed to new submissions; call before announcing that this process leaves. */
    public void close() {
        closed = true;
    }

    public boolean isClosed() {
        return closed;
    }

    /**
     * Submits a change and waits for its result.
     *
     * @param submission the change, not null
     * @return the outcome, not null
     * @throws InterruptedException if the thread is interrupted because the process ends; the submission may have
     *     been accepted
     */
    public Outcome submit(Submission submission) throws InterruptedException {
        SubmissionProcess process =
                new SubmissionProcess(submission, configuration.current(), clock, random, settings.submissionLimit());
        SubmissionStep step = process.start();
        while (true) {
            if (step instanceof SubmissionStep.Done done) {
                return finish(submission, done.result());
            }
            step = perform(process, step);
        }
    }

    private SubmissionStep perform(SubmissionProcess process, SubmissionStep step) throws InterruptedException {
        if (step instanceof SubmissionStep.Wait wait) {
            Thread.sleep(wait.duration().toMillis());
            return process.onWaitFinished();
        }
        if (step instanceof SubmissionStep.Commit commit) {
            return commit(process, commit);
        }
        try {
            if (step instanceof SubmissionStep.Read read) {
                return process.onRowRead(table.read(read.key()));
            }
            return process.onCaughtUp(configuration.applyPollResult(
                    reader.read(configuration.current().revision())));
        } catch (PlatformException | RecordException failure) {
            return process.onReadFailed();
        }
    }

    private SubmissionStep commit(SubmissionProcess process, SubmissionStep.Commit commit) {
        try {
            return process.onCommitAnswered(table.commit(commit.transaction()));
        } catch (PlatformException failure) {
            return process.onCommitFailed(failure.effect() == PlatformException.Effect.UNKNOWN);
        }
    }

    private Outcome finish(Submission submission, SubmissionResult result) throws InterruptedException {
        if (!result.isAccepted()) {
            EventLog.write(
                    EventCode.SUBMISSION_REFUSED, "{} {}: {}", submission.operation(), result.code(), result.message());
            return new Outcome(result, 0);
        }
        LogEntry entry = result.entry().orElseThrow();
        EventLog.write(EventCode.SUBMISSION_ACCEPTED, "{} revision {}", submission.operation(), entry.revision());
        configuration.applyCommittedEntry(entry);
        return new Outcome(result, awaitHolder(entry.revision()));
    }

    /* Until another entry holds the change, only this process and the table know it. If both failed, the other entries
     * would continue without the change, since all of them report the table as unreachable. */
    private int awaitHolder(long revision) throws InterruptedException {
        long deadline = clock.nanos() + settings.holderLimit().toNanos();
        while (true) {
            int holders = configuration.countOtherEntriesHolding(revision);
            if (holders > 0 || !configuration.hasOtherEntries() || clock.nanos() - deadline >= 0) {
                return holders;
            }
            Thread.sleep(HOLDER_CHECK_INTERVAL.toMillis());
        }
    }
}
