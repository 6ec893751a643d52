package org.geraniumreach.daemon.ledger;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

import com.google.protobuf.ByteString;
import org.geraniumreach.coordination.ledger.LedgerAction;
import org.geraniumreach.link.AttemptHandle;
import org.geraniumreach.link.AttemptListener;
import org.geraniumreach.messages.End;
import org.geraniumreach.messages.Refused;
import org.geraniumreach.model.ExecutionStatus;
import org.geraniumreach.model.ResultCode;

/**
 * Assembles the chunks of an attempt's answer.
 *
 * <p>Invariants: an answer is reported only when it is complete, and exactly one end is reported. Calls come one at a time,
 * as for any {@link AttemptListener}.
 */
final class AnswerCollector implements AttemptListener {

    /** The chunks that a companion may send before more are requested. */
    static final int CREDIT_CHUNKS = 64;

    private final long maxAnswerBytes;
    private final Consumer<Ending> endingConsumer;
    private volatile AttemptHandle handle;
    private ByteString body = ByteString.EMPTY;
    private long receivedChunks;
    private boolean ended;

    /** How an attempt ended. */
    sealed interface Ending {

        /**
         * The answer is complete.
         *
         * @param body the answer
         */
        record Complete(byte[] body) implements Ending {}

        /**
         * The companion refused the attempt, or its answer was too large.
         *
         * @param refusal the reason
         */
        record Failed(LedgerAction.Refuse refusal) implements Ending {}

        /**
         * The companion became unreachable, or the answer is incomplete.
         *
         * @param executionStatus whether the attempt is known to have run
         */
        record Lost(ExecutionStatus executionStatus) implements Ending {}
    }

    AnswerCollector(long maxAnswerBytes, Consumer<Ending> endingConsumer) {
        this.maxAnswerBytes = maxAnswerBytes;
        this.endingConsumer = endingConsumer;
    }

    void start(AttemptHandle sent) {
        handle = sent;
        sent.request(CREDIT_CHUNKS);
    }

    @Override
    public void onAccepted() {
        // Nothing to do: a queued attempt may still never run.
    }

    @Override
    public void onChunk(long sequence, ByteString payload, int tokens) {
        if (ended) {
            return;
        }
        if (body.size() + (long) payload.size() > maxAnswerBytes) {
            finish(new Ending.Failed(createRefusal(
                    ResultCode.TARGET_FAILED,
                    ExecutionStatus.YES,
                    Optional.empty(),
                    "the answer is above " + maxAnswerBytes)));
            return;
        }
        body = body.concat(payload);
        receivedChunks++;
        AttemptHandle current = handle;
        if (current != null) {
            current.request(1);
        }
    }

    @Override
    public void onEnded(End end) {
        if (end.getCount() != receivedChunks) {
            // An incomplete answer must never be stored: every later call with the key would get it.
            finish(new Ending.Lost(ExecutionStatus.UNKNOWN));
            return;
        }
        finish(new Ending.Complete(body.toByteArray()));
    }

    @Override
    public void onRefused(Refused refused) {
        ResultCode code = ResultCode.ofNumber(refused.getCode()).orElse(ResultCode.TARGET_FAILED);
        Optional<Duration> retryAfter = refused.getRetryAfterMillis() > 0
                ? Optional.of(Duration.ofMillis(refused.getRetryAfterMillis()))
                : Optional.empty();
        finish(new Ending.Failed(
                createRefusal(code, toExecutionStatus(refused.getRan()), retryAfter, refused.getMessage())));
    }

    private static LedgerAction.Refuse createRefusal(
            ResultCode code, ExecutionStatus executionStatus, Optional<Duration> retryAfter, String message) {
        return new LedgerAction.Refuse(code, executionStatus, retryAfter, message);
    }

    private static ExecutionStatus toExecutionStatus(int number) {
        ExecutionStatus[] values = ExecutionStatus.values();
        return number >= 0 && number < values.length ? values[number] : ExecutionStatus.UNKNOWN;
    }

    @Override
    public void onLost(ExecutionStatus executionStatus, String reason) {
        finish(new Ending.Lost(executionStatus));
    }

    private void finish(Ending ending) {
        if (ended) {
            return;
        }
        ended = true;
        endingConsumer.accept(ending);
    }
}
