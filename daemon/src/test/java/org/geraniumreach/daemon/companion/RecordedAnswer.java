package org.geraniumreach.daemon.companion;

import java.util.Optional;

import com.google.protobuf.ByteString;
import org.geraniumreach.link.AttemptHandle;
import org.geraniumreach.link.AttemptListener;
import org.geraniumreach.messages.End;
import org.geraniumreach.messages.Refused;
import org.geraniumreach.model.ExecutionStatus;
import org.geraniumreach.model.ResultCode;

/** What a caller at an entry receives; it asks for a chunk more with each that came, unless it is slow. */
final class RecordedAnswer implements AttemptListener {

    private final StringBuilder text = new StringBuilder();
    private final boolean requestsNoMore;
    private AttemptHandle handle;
    private int pendingDemand;
    private long chunks;
    private int ends;
    private boolean accepted;
    private End end;
    private ResultCode refusal;
    private ExecutionStatus executionStatus;

    RecordedAnswer(boolean slow) {
        this.requestsNoMore = slow;
    }

    void attachHandle(AttemptHandle started) {
        int more;
        synchronized (this) {
            handle = started;
            more = pendingDemand;
        }
        if (more > 0) {
            started.request(more);
        }
    }

    AttemptHandle handle() {
        return handle;
    }

    @Override
    public synchronized void accepted() {
        accepted = true;
    }

    @Override
    public void chunk(long sequence, ByteString payload, int tokens) {
        AttemptHandle asked;
        synchronized (this) {
            if (sequence != chunks) {
                throw new IllegalStateException("chunk " + sequence + " after " + chunks);
            }
            chunks++;
            text.append(payload.toStringUtf8());
            asked = requestsNoMore ? null : handle;
            pendingDemand += asked == null ? 1 : 0;
        }
        if (asked != null) {
            asked.request(1);
        }
    }

    @Override
    public synchronized void ended(End whole) {
        ends++;
        end = whole;
    }

    @Override
    public synchronized void refused(Refused refused) {
        ends++;
        refusal = ResultCode.ofNumber(refused.getCode()).orElseThrow();
        executionStatus = ExecutionStatus.values()[refused.getRan()];
    }

    @Override
    public synchronized void lost(ExecutionStatus lostRan, String reason) {
        ends++;
        executionStatus = lostRan;
    }

    synchronized String text() {
        return text.toString();
    }

    synchronized long chunks() {
        return chunks;
    }

    synchronized boolean isAccepted() {
        return accepted;
    }

    synchronized boolean isEnded() {
        return ends > 0;
    }

    synchronized int ends() {
        return ends;
    }

    synchronized Optional<End> end() {
        return Optional.ofNullable(end);
    }

    synchronized Optional<ResultCode> refusal() {
        return Optional.ofNullable(refusal);
    }

    synchronized Optional<ExecutionStatus> executionStatus() {
        return Optional.ofNullable(executionStatus);
    }
}
