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
 * Puts an attempt's chunks together.
 *
 * <p>Invariants: an answer is passed on only when it is whole; one end is passed on. Calls come one at a time, as of any
 * {@link AttemptListener}.
 */
final class AnswerCollector implements AttemptListener {

    /** How many chunks may come before more are asked for. */
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
         * The answer came whole.
         *
         * @param body the answer
         */
        record Complete(byte[] body) implements Ending {}

        /**
         * The companion gave it up.
         *
         * @param refusal why
         */
        record Failed(LedgerAction.Refuse refusal) implements Ending {}

        /**
         * The companion cannot be reached any more.
         *
         * @param executionStatus what is known
         */
        record Lost(ExecutionStatus executionStatus) implements Ending {}
    }

    AnswerCollector(long largestAnswer, Consumer<Ending> ending) {
        this.maxAnswerBytes = largestAnswer;
        this.endingConsumer = ending;
    }

    void start(AttemptHandle sent) {
        handle = sent;
        sent.request(CREDIT_CHUNKS);
    }

    @Override
    public void accepted() {
        // Nothing to do: that it is queued says nothing of its running.
    }

    @Override
    public void chunk(long sequence, ByteString payload, int tokens) {
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
    public void ended(End end) {
        if (end.getCount() != receivedChunks) {
            // A part of an answer must never be kept as the answer: every later call with the key would get it.
            finish(new Ending.Lost(ExecutionStatus.UNKNOWN));
            return;
        }
        finish(new Ending.Complete(body.toByteArray()));
    }

    @Override
    public void refused(Refused refused) {
        ResultCode code = ResultCode.ofNumber(refused.getCode()).orElse(ResultCode.TARGET_FAILED);
        Optional<Duration> retryAfter = refused.getRetryAfterMillis() > 0
                ? Optional.of(Duration.ofMillis(refused.getRetryAfterMillis()))
                : Optional.empty();
        finish(new Ending.Failed(
                createRefusal(code, toExecutionStatus(refused.getRan()), retryAfter, refused.getMessage())));
    }

    private static LedgerAction.Refuse createRefusal(
            ResultCode code, ExecutionStatus ran, Optional<Duration> retryAfter, String message) {
        return new LedgerAction.Refuse(code, ran, retryAfter, message);
    }

    private static ExecutionStatus toExecutionStatus(int number) {
        ExecutionStatus[] values = ExecutionStatus.values();
        return number >= 0 && number < values.length ? values[number] : ExecutionStatus.UNKNOWN;
    }

    @Override
    public void lost(ExecutionStatus ran, String reason) {
        finish(new Ending.Lost(ran));
    }

    private void finish(Ending how) {
        if (ended) {
            return;
        }
        ended = true;
        endingConsumer.accept(how);
    }
}
