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
 * <p>Invariant: each attempt is at most one call. A failed call is not retried, since the service may have carried it
 * out although its answer was lost. Safe for use by several threads; calls run on the executor.
 */
final class ServiceRunner implements TargetRunner {

    private static final int MAX_CHUNK_BYTES = 64 * 1024;
    private static final long NANOS_PER_MICRO = 1_000;

    private final PlainService service;
    private final RequestQueue<CompanionAttempt> queue;
    private final OrderAuthorization authorization;
    private final AttemptLifecycle lifecycle;
    private final MonotonicClock clock;
    private final ExecutorService callExecutor;
    private final Runnable onChange;
    private final TargetRest rest;

    ServiceRunner(
            PlainService service,
            RequestQueue<CompanionAttempt> queue,
            OrderAuthorization authorization,
            AttemptLifecycle lifecycle,
            MonotonicClock clock,
            ExecutorService callExecutor,
            Runnable onChange) {
        this.service = service;
        this.queue = queue;
        this.authorization = authorization;
        this.lifecycle = lifecycle;
        this.clock = clock;
        this.callExecutor = callExecutor;
        this.onChange = onChange;
        this.rest = new TargetRest(clock);
    }

    @Override
    public void submit(CompanionAttempt attempt) {
        queue.offer(new QueuedRequest<>(
                attempt.id(),
                attempt.account(),
                Optional.empty(),
                1,
                attempt.runWithoutBody().getPriority(),
                attempt.deadline(),
                attempt));
        dispatch();
    }

    @Override
    public void withdraw(CompanionAttempt attempt) {
        queue.remove(attempt.id());
        onChange.run();
    }

    @Override
    public void cancel(CompanionAttempt attempt) {
        // A call that was sent cannot be cancelled; the entry needs its outcome.
    }

    private void dispatch() {
        if (authorization.state(clock.nanos()) != OrderAuthorization.State.UNCONFIRMED) {
            takeRequests();
        }
        onChange.run();
    }

    private void takeRequests() {
        Optional<QueuedRequest<CompanionAttempt>> next = queue.take(adapter -> true);
        while (next.isPresent()) {
            CompanionAttempt attempt = next.get().payload();
            callExecutor.execute(() -> runAndRelease(attempt));
            next = queue.take(adapter -> true);
        }
    }

    private void runAndRelease(CompanionAttempt attempt) {
        try {
            run(attempt);
        } finally {
            queue.onFinished(attempt.id(), 1, 0);
            dispatch();
        }
    }

    private void run(CompanionAttempt attempt) {
        if (authorization.authorize(clock.nanos()).isEmpty()) {
            lifecycle.refuse(
                    attempt,
                    ServingException.notRun(ResultCode.FENCED, "this companion may not give the target orders"));
            return;
        }
        Optional<ServingException> resting = rest.refusal();
        if (resting.isPresent()) {
            lifecycle.refuse(attempt, resting.get());
            return;
        }
        if (!lifecycle.start(attempt)) {
            return;
        }
        long waitNanos = clock.nanos() - attempt.arrivedAt();
        byte[] body = attempt.body().toByteArray();
        try {
            byte[] answer = service.call(
                    attempt.id(), attempt.account(), attempt.runWithoutBody().getOperation(), body);
            deliver(attempt, answer, waitNanos);
        } catch (PlatformException failure) {
            onFailed(attempt, failure);
        }
    }

    private void deliver(CompanionAttempt attempt, byte[] answer, long waitNanos) {
        int sequence = 0;
        for (int offset = 0; offset < answer.length; offset += MAX_CHUNK_BYTES) {
            int length = Math.min(MAX_CHUNK_BYTES, answer.length - offset);
            attempt.add(Frames.chunk(attempt.id(), sequence, ByteString.copyFrom(answer, offset, length), 0));
            sequence++;
        }
        lifecycle.end(
                attempt,
                End.newBuilder()
                        .setAttempt(attempt.id().value())
                        .setCount(sequence)
                        .setQueueMicros(waitNanos / NANOS_PER_MICRO)
                        .build());
    }

    private void onFailed(CompanionAttempt attempt, PlatformException failure) {
        boolean isNotRun = failure.effect() == PlatformException.Effect.NONE;
        ResultCode code = isNotRun ? ResultCode.TARGET_FAILED : ResultCode.OUTCOME_UNKNOWN;
        ExecutionStatus executionStatus = isNotRun ? ExecutionStatus.NO : ExecutionStatus.UNKNOWN;
        rest.onFailed(failure);
        lifecycle.refuse(attempt, ServingException.of(code, executionStatus, failure.getMessage()));
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
    public int unfinishedCount() {
        return queue.runningCount() + queue.waitingCount();
    }
}
