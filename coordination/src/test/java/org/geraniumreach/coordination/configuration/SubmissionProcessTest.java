package org.geraniumreach.coordination.configuration;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.record.Configuration;
import org.geraniumreach.model.record.LogEntry;
import org.geraniumreach.model.record.RecordKey;
import org.geraniumreach.model.record.RecordKind;
import org.geraniumreach.model.table.Transaction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class SubmissionProcessTest {

    private static final String ACCOUNT = "{'schemaVersion':1,'rate':1,'burst':1}";
    private static final String ADAPTER = "{'schemaVersion':1,'baseModel':'base','versions':['v1']}";
    private static final String ASSIGNMENT = "{'schemaVersion':1,'account':'acme','adapter':'welder'}";
    private static final String KEY = "{'schemaVersion':1,'account':'acme','digest':'" + "0".repeat(64) + "'}";

    /** How the table treats a commit. */
    private enum CommitOutcome {
        ANSWERED,
        APPLIED_WITHOUT_ANSWER,
        APPLIED_AFTER_DEADLINE,
        NOT_APPLIED
    }

    private final InMemoryTable table = new InMemoryTable();
    private CommitOutcome commitOutcome = CommitOutcome.ANSWERED;
    private Optional<Transaction> delayedCommit = Optional.empty();
    private int commitCount;
    private long nowNanos;

    private SubmissionResult submit(String operation, long basedOn, RecordKind kind, String name, String body) {
        Optional<String> json = Optional.ofNullable(body).map(text -> text.replace('\'', '"'));
        Submission submission = new Submission(operation, basedOn, RecordKey.of(kind, name), json);
        SubmissionProcess process = new SubmissionProcess(
                submission, configuration(), () -> nowNanos, new Random(1), Duration.ofSeconds(3));
        SubmissionStep step = process.start();
        while (true) {
            nowNanos += 1_000_000;
            if (step instanceof SubmissionStep.Done done) {
                return done.result();
            } else if (step instanceof SubmissionStep.Read read) {
                step = process.onRowRead(table.read(read.key()));
            } else if (step instanceof SubmissionStep.CatchUp) {
                step = process.onCaughtUp(configuration());
            } else if (step instanceof SubmissionStep.Wait wait) {
                nowNanos += wait.duration().toNanos();
                step = process.onWaitFinished();
            } else if (step instanceof SubmissionStep.Commit commit) {
                step = commit(process, commit.transaction());
            }
        }
    }

    private SubmissionStep commit(SubmissionProcess process, Transaction transaction) {
        commitCount++;
        switch (commitOutcome) {
            case ANSWERED:
                return process.onCommitAnswered(table.commit(transaction));
            case APPLIED_WITHOUT_ANSWER:
                table.commit(transaction);
                return process.onCommitFailed(true);
            case APPLIED_AFTER_DEADLINE:
                delayedCommit = Optional.of(transaction);
                return process.onCommitFailed(true);
            default:
                return process.onCommitFailed(false);
        }
    }

    private Configuration configuration() {
        return Configuration.empty().plus(table.log());
    }

    private void submitInitialRecords() {
        assertThat(submit("one", 0, RecordKind.ACCOUNT, "acme", ACCOUNT).isAccepted())
                .isTrue();
        assertThat(submit("two", 0, RecordKind.ADAPTER, "welder", ADAPTER).isAccepted())
                .isTrue();
        assertThat(submit("three", 0, RecordKind.KEY, "key", KEY).isAccepted()).isTrue();
        assertThat(submit("four", 0, RecordKind.ASSIGNMENT, "work", ASSIGNMENT).isAccepted())
                .isTrue();
    }

    /*
     * Failure: two operators change one record concurrently, and the first change is silently lost. Both read revision 4.
     * The second must get a conflict and the current record.
     */
    @Test
    void concurrentChangeIsRefusedWithCurrentRecord() {
        submitInitialRecords();
        SubmissionResult first =
                submit("first", 4, RecordKind.ACCOUNT, "acme", "{'schemaVersion':1,'rate':2,'burst':2}");
        SubmissionResult second =
                submit("second", 4, RecordKind.ACCOUNT, "acme", "{'schemaVersion':1,'rate':3,'burst':3}");
        assertThat(second.code()).isEqualTo(ResultCode.CONFLICT);
        assertThat(second.entry()).isEqualTo(first.entry());
        assertThat(table.headRevision()).isEqualTo(5);
    }

    /*
     * Failure: a withdrawn key becomes valid again, because an operator who read it before the withdrawal changes it
     * afterwards.
     */
    @Test
    void changeBasedOnWithdrawnRecordIsRefused() {
        submitInitialRecords();
        assertThat(submit("withdrawal", 4, RecordKind.KEY, "key", null).isAccepted())
                .isTrue();
        assertThat(submit("change", 4, RecordKind.KEY, "key", KEY).code()).isEqualTo(ResultCode.CONFLICT);
        assertThat(submit("again", 5, RecordKind.KEY, "key", KEY).isAccepted()).isTrue();
    }

    /*
     * Failure: a change is reported as failed although it was applied, or is applied twice. The table applies the
     * transaction and its answer is lost.
     */
    @Test
    void lostCommitAnswerIsResolvedByReading() {
        commitOutcome = CommitOutcome.APPLIED_WITHOUT_ANSWER;
        SubmissionResult result = submit("one", 0, RecordKind.ACCOUNT, "acme", ACCOUNT);
        assertThat(result.isAccepted()).isTrue();
        assertThat(commitCount).isEqualTo(1);
        assertThat(table.log()).containsExactly(result.entry().orElseThrow());
    }

    /*
     * Failure: a submission is reported as not applied and is applied later, because the write is delayed beyond the
     * deadline. Submitting its operation id again must find the change, applied once.
     */
    @Test
    void delayedWriteIsUnsettledAndFoundByOperationIdLater() {
        commitOutcome = CommitOutcome.APPLIED_AFTER_DEADLINE;
        assertThat(submit("one", 0, RecordKind.ACCOUNT, "acme", ACCOUNT).code())
                .isEqualTo(ResultCode.SUBMISSION_UNSETTLED);
        assertThat(commitCount).isEqualTo(1);
        assertThat(table.commit(delayedCommit.orElseThrow())).isTrue();
        commitOutcome = CommitOutcome.ANSWERED;
        SubmissionResult resubmitted = submit("one", 0, RecordKind.ACCOUNT, "acme", ACCOUNT);
        assertThat(resubmitted.isAccepted()).isTrue();
        assertThat(table.log()).containsExactly(resubmitted.entry().orElseThrow());
    }

    /*
     * Failure: a change is applied twice. The first write is delayed while the operator submits the same operation again
     * and succeeds; then the first write arrives.
     */
    @Test
    void resubmittedOperationIsAppliedOnce() {
        commitOutcome = CommitOutcome.APPLIED_AFTER_DEADLINE;
        submit("one", 0, RecordKind.ACCOUNT, "acme", ACCOUNT);
        commitOutcome = CommitOutcome.ANSWERED;
        assertThat(submit("one", 0, RecordKind.ACCOUNT, "acme", ACCOUNT).isAccepted())
                .isTrue();
        assertThat(table.commit(delayedCommit.orElseThrow())).isFalse();
        assertThat(table.log()).hasSize(1);
    }

    @Test
    void unavailableTableIsReportedAndNothingIsWritten() {
        commitOutcome = CommitOutcome.NOT_APPLIED;
        assertThat(submit("one", 0, RecordKind.ACCOUNT, "acme", ACCOUNT).code())
                .isEqualTo(ResultCode.STORE_UNAVAILABLE);
        assertThat(table.headRevision()).isZero();
    }

    @Test
    void operationIdOfAnotherChangeIsRefused() {
        submitInitialRecords();
        assertThat(submit("one", 4, RecordKind.ACCOUNT, "acme", "{'schemaVersion':1,'rate':9,'burst':9}")
                        .code())
                .isEqualTo(ResultCode.OPERATION_REUSED);
        assertThat(submit("one", 4, RecordKind.ACCOUNT, "acme", ACCOUNT).isAccepted())
                .isTrue();
        assertThat(table.headRevision()).isEqualTo(4);
    }

    /*
     * Failure: a field that a newer program stored is silently lost when an operator changes the record through a program
     * that does not know the field.
     */
    @Test
    void unknownStoredFieldsAreKept() {
        String newer = "{\"schemaVersion\":1,\"rate\":1,\"burst\":1,\"region\":\"west\"}";
        RecordKey key = RecordKey.of(RecordKind.ACCOUNT, "acme");
        store(new LogEntry(1, "newer", key, Optional.of(newer)));
        SubmissionResult result = submit("change", 1, RecordKind.ACCOUNT, "acme", ACCOUNT.replace("1,'b", "2,'b"));
        assertThat(result.entry().orElseThrow().body().orElseThrow()).contains("\"region\":\"west\"", "\"rate\":2");
    }

    @Test
    void recordWithNewerSchemaVersionIsNotOverwritten() {
        RecordKey key = RecordKey.of(RecordKind.ACCOUNT, "acme");
        store(new LogEntry(1, "newer", key, Optional.of("{\"schemaVersion\":99}")));
        assertThat(submit("change", 1, RecordKind.ACCOUNT, "acme", ACCOUNT).code())
                .isEqualTo(ResultCode.SCHEMA_VERSION_UNKNOWN);
    }

    private void store(LogEntry entry) {
        table.commit(Transaction.empty()
                .withWrite(ConfigurationRows.HEAD, ConfigurationRows.writeRevision(entry.revision()))
                .withWrite(ConfigurationRows.recordKey(entry.key()), ConfigurationRows.writeEntry(entry))
                .withWrite(ConfigurationRows.logKey(entry.revision()), ConfigurationRows.writeEntry(entry)));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    KEY        | other   | {'schemaVersion':1,'account':'nobody','digest':'%s'} | REFERENCE_DANGLING
                    KEY        | other   | {'schemaVersion':1,'account':'acme','digest':'%s'}   | RECORD_INVALID
                    ASSIGNMENT | other   | {'schemaVersion':1,'account':'acme','adapter':'no'}  | REFERENCE_DANGLING
                    TARGET     | t       | {'schemaVersion':1,'failureDomain':'d','service':'no','checksFence':true} \
                    | REFERENCE_DANGLING
                    ACCOUNT    | acme    |                                                      | REFERENCE_DANGLING
                    ADAPTER    | welder  |                                                      | REFERENCE_DANGLING
                    ADAPTER    | unknown |                                                      | RECORD_UNKNOWN
                    ACCOUNT    | other   | {'schemaVersion':1,'rate':1,'burst':1,'x':1}         | RECORD_INVALID
                    ACCOUNT    | other   | {'schemaVersion':7}                                  | SCHEMA_VERSION_UNKNOWN
                    ACCOUNT    | other   | [                                                    | RECORD_INVALID
                    """)
    void invalidSubmissionIsRefusedAndChangesNothing(RecordKind kind, String name, String body, ResultCode code) {
        submitInitialRecords();
        String filled = body == null ? null : body.replace("%s", "0".repeat(64));
        assertThat(submit("five", 4, kind, name, filled).code()).isEqualTo(code);
        assertThat(table.log()).extracting(LogEntry::operation).isEqualTo(List.of("one", "two", "three", "four"));
    }
}
