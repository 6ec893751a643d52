package org.geraniumreach.daemon.companion;

import java.util.Optional;
import java.util.concurrent.ExecutorService;

import com.google.protobuf.ByteString;
import org.geraniumreach.messages.End;
import org.geraniumreach.messages.Status;
import org.geraniumreach.model.ExecutionStatus;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServingException;
import org.geraniumreach.ports.PlainService;
import org.geraniumreach.ports.PlatformException;
import org.geraniumreach.serving.queue.QueuedRequest;
import org.geraniumreach.serving.queue.RequestQueue;

/**
 * Runs attempts on a plain service.
 *
 * <p>Invariant: each attempt is one call, whatever becomes of it; the call is not made again, since the service may have
 * carried it out although its answer was lost. Safe for use by several threads; calls run on the executor.
 */
final class ServiceRunner implements TargetRunner {

    private static final int PAYLOAD_BYTES = 64 * 1024;
    private static final long NANOS_PER_MICRO = 1_000;

    private final PlainService service;
    private final RequestQueue<CompanionAttempt> queue;
    private final OrderPermit permit;
    private final Outcomes outcomes;
    private final MonotonicClock clock;
    private final ExecutorService calls;
    private final Runnable changed;

    ServiceRunner(
            PlainService service,
            RequestQueue<CompanionAttempt> queue,
            OrderPermit permit,
            Outcomes outcomes,
            MonotonicClock clock,
            ExecutorService calls,
            Runnable changed) {
        this.service = service;
        this.queue = queue;
        this.permit = permit;
        this.outcomes = outcomes;
        this.clock = clock;
        this.calls = calls;
        this.changed = changed;
    }

    @Override
    public void submit(CompanionAttempt attempt) {
        queue.offer(new QueuedRequest<>(
                attempt.id(),
                attempt.account(),
                Optional.empty(),
                1,
                attempt.named().getPriority(),
                attempt.deadline(),
                attempt));
        dispatch();
    }

    @Override
    public void withdraw(CompanionAttempt attempt) {
        queue.remove(attempt.id());
        changed.run();
    }

    @Override
    public void cancel(CompanionAttempt attempt) {
        // A call that was made cannot be taken back; its outcome is what the entry has to learn.
    }

    private void dispatch() {
        Optional<QueuedRequest<CompanionAttempt>> next = queue.take(adapter -> true);
        while (next.isPresent()) {
            CompanionAttempt attempt = next.get().payload();
            calls.execute(() -> runToEnd(attempt));
            next = queue.take(adapter -> true);
        }
        changed.run();
    }

    private void runToEnd(CompanionAttempt attempt) {
        try {
            run(attempt);
        } finally {
            queue.onFinished(attempt.id(), 1, 0);
            dispatch();
        }
    }

    private void run(CompanionAttempt attempt) {
        if (permit.order(clock.nanos()).isEmpty()) {
            outcomes.refused(
                    attempt,
                    ServingException.notRun(ResultCode.FENCED, "this companion may not give the target orders"));
            return;
        }
        if (!outcomes.start(attempt)) {
            return;
        }
        long waited = clock.nanos() - attempt.arrivedAt();
        byte[] body = attempt.body().toByteArray();
        try {
            byte[] answer = service.call(
                    attempt.id(), attempt.account(), attempt.named().getOperation(), body);
            answered(attempt, answer, waited);
        } catch (PlatformException failure) {
            failed(attempt, failure);
        }
    }

    private void answered(CompanionAttempt attempt, byte[] answer, long waited) {
        int sequence = 0;
        for (int from = 0; from < answer.length; from += PAYLOAD_BYTES) {
            int length = Math.min(PAYLOAD_BYTES, answer.length - from);
            attempt.add(Frames.chunk(attempt.id(), sequence, ByteString.copyFrom(answer, from, length), 0));
            sequence++;
        }
        outcomes.ended(
                attempt,
                End.newBuilder()
                        .setAttempt(attempt.id().value())
                        .setCount(sequence)
                        .setQueueMicros(waited / NANOS_PER_MICRO)
                        .build());
    }

    private void failed(CompanionAttempt attempt, PlatformException failure) {
        boolean notRun = failure.effect() == PlatformException.Effect.NONE;
        ResultCode code = notRun ? ResultCode.TARGET_FAILED : ResultCode.OUTCOME_UNKNOWN;
        ExecutionStatus ran = notRun ? ExecutionStatus.NO : ExecutionStatus.UNKNOWN;
        outcomes.refused(attempt, ServingException.of(code, ran, failure.getMessage()));
    }

    @Override
    public void tick() {
        dispatch();
    }

    @Override
    public void describe(Status.Builder status) {
        status.setRunning(queue.runningCount())
                .setQueued(queue.waitingCount())
                .setQueuedTokens(queue.waitingTokens())
                .setConcurrencyLimit(queue.concurrencyLimit());
    }

    @Override
    public int unfinished() {
        return queue.runningCount() + queue.waitingCount();
    }
}
