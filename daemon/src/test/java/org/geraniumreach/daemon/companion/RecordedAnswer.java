package org.geraniumreach.daemon.companion;

import java.util.Optional;

import com.google.protobuf.ByteString;
import org.geraniumreach.link.AttemptHandle;
import org.geraniumreach.link.AttemptListener;
import org.geraniumreach.messages.End;
import org.geraniumreach.messages.Refused;
import org.geraniumreach.model.ExecutionStatus;
import org.geraniumreach.model.ResultCode;

/** Records what a caller at an entry receives; requests another chunk for each one received, unless told not to. */
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

    RecordedAnswer(boolean requestsNoMore) {
        this.requestsNoMore = requestsNoMore;
    }

    void attachHandle(AttemptHandle started) {
        int demand;
        synchronized (this) {
            handle = started;
            demand = pendingDemand;
        }
        if (demand > 0) {
            started.request(demand);
        }
    }

    AttemptHandle handle() {
        return handle;
    }

    @Override
    public synchronized void onAccepted() {
        accepted = true;
    }

    @Override
    public void onChunk(long sequence, ByteString payload, int tokens) {
        AttemptHandle currentHandle;
        synchronized (this) {
            if (sequence != chunks) {
                throw new IllegalStateException("chunk " + sequence + " after " + chunks);
            }
            chunks++;
            text.append(payload.toStringUtf8());
            currentHandle = requestsNoMore ? null : handle;
            pendingDemand += currentHandle == null ? 1 : 0;
        }
        if (currentHandle != null) {
            currentHandle.request(1);
        }
    }

    @Override
    public synchronized void onEnded(End received) {
        ends++;
        end = received;
    }

    @Override
    public synchronized void onRefused(Refused refused) {
        ends++;
        refusal = ResultCode.ofNumber(refused.getCode()).orElseThrow();
        executionStatus = ExecutionStatus.values()[refused.getRan()];
    }

    @Override
    public synchronized void onLost(ExecutionStatus lostStatus, String reason) {
        ends++;
        executionStatus = lostStatus;
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
