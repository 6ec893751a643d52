package org.geraniumreach.daemon.entry;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import org.geraniumreach.daemon.budget.BudgetCallback;
import org.geraniumreach.daemon.budget.Reservation;
import org.geraniumreach.daemon.event.EventLog;
import org.geraniumreach.daemon.metrics.RequestMeters;
import org.geraniumreach.link.AttemptHandle;
import org.geraniumreach.link.AttemptListener;
import org.geraniumreach.messages.End;
import org.geraniumreach.messages.Refused;
import org.geraniumreach.messages.Run;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.ExecutionStatus;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServingException;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.serving.prefix.PrefixDigest;
import org.geraniumreach.serving.retry.RetryPolicy;
import org.geraniumreach.serving.routing.Route;
import org.geraniumreach.serving.routing.RouteRequest;
import org.geraniumreach.serving.routing.SentRequest;

/**
 * Runs one generation request of a caller, from the budget reservation to the final answer.
 *
 * <p>Invariants: the caller gets exactly one final answer; each reservation is settled once; events of an attempt that
 * has been replaced are ignored, so its late parts never reach the caller; there is no retry after a part has been
 * sent. An aborted request is answered at once. Safe for use by several threads; the state is guarded by the call's own
 * lock.
 */
final class GenerationCall implements BudgetCallback {

    private static final int INITIAL_CREDIT_CHUNKS = 32;
    private static final Duration NO_TARGET_RETRY_AFTER = Duration.ofSeconds(1);

    private final EntryDependencies dependencies;
    private final Caller caller;
    private final AdapterReference adapter;
    private final String baseModel;
    private final GenerationRequest request;
    private final RequestMeters meters;
    private final Optional<PrefixDigest> prefix;
    private final long reservedTokens;
    private final long startNanos;
    private final long deadlineNanos;
    private final Set<TargetId> triedTargets = new HashSet<>();
    private AnswerSink sink;
    private Optional<Reservation> reservation = Optional.empty();
    private Optional<Attempt> current = Optional.empty();
    private Optional<ScheduledFuture<?>> tickTask = Optional.empty();
    private Optional<ServingException> lastFailure = Optional.empty();
    private Optional<Route> lastRoute = Optional.empty();
    private boolean mayHaveRun;
    private Optional<ScheduledFuture<?>> deadlineTask = Optional.empty();
    private int failures;
    private boolean ended;
    private long lastPartNanos;
    private long receivedParts;

    GenerationCall(
            EntryDependencies dependencies,
            Caller caller,
            AdapterReference adapter,
            String baseModel,
            GenerationRequest request) {
        this.dependencies = dependencies;
        this.caller = caller;
        this.adapter = adapter;
        this.baseModel = baseModel;
        this.request = request;
        this.meters = dependencies.metrics().requests(caller.id(), request.kind());
        this.prefix = prefixOf(adapter, request);
        this.reservedTokens = reservedTokens(dependencies.limits(), request);
        this.startNanos = dependencies.clock().nanos();
        this.deadlineNanos = startNanos + dependencies.limits().deadline().toNanos();
    }

    /**
     * Starts the call: reserves budget, then sends the request to a target.
     *
     * @param answer writes the answer to the caller, not null
     */
    void start(AnswerSink answer) {
        synchronized (this) {
            sink = answer;
            long period = dependencies.limits().keepAlive().toMillis() / 2;
            tickTask = Optional.of(
                    dependencies.timer().scheduleAtFixedRate(this::onTick, period, period, TimeUnit.MILLISECONDS));
            long limitNanos = dependencies.limits().deadline().toNanos();
            deadlineTask =
                    Optional.of(dependencies.timer().schedule(this::onDeadline, limitNanos, TimeUnit.NANOSECONDS));
        }
        dependencies.activeCalls().add(caller.key(), this::onKeyWithdrawn, this);
        dependencies.budget().reserve(caller.id(), reservedTokens, remainingTime(), this);
    }

    private static long reservedTokens(GenerationLimits limits, GenerationRequest request) {
        int bytes = request.prompt().getBytes(StandardCharsets.UTF_8).length;
        int perToken = limits.bytesPerToken();
        return (bytes + perToken - 1) / perToken + (long) request.maximumTokens();
    }

    private Duration remainingTime() {
        return Duration.ofNanos(Math.max(0, deadlineNanos - dependencies.clock().nanos()));
    }

    @Override
    public synchronized void onGranted(Reservation granted) {
        if (ended) {
            granted.settle(0);
            return;
        }
        reservation = Optional.of(granted);
        send();
    }

    @Override
    public synchronized void onRefused(ServingException refusal) {
        fail(refusal);
    }

    private void send() {
        Optional<Route> route = dependencies.fleet().route(routeRequest());
        if (route.isEmpty()) {
            if (lastFailure.filter(RefusalClassifier::mayReturn).isPresent()) {
                returnTo(lastRoute.orElseThrow());
                return;
            }
            // After a failed attempt, that failure is reported to the caller, since it says more than that no other
            // target is available.
            fail(lastFailure.orElseGet(
                    () -> ServingException.notRun(ResultCode.NO_TARGET, "no live target can run " + adapter)
                            .withRetryAfter(NO_TARGET_RETRY_AFTER)));
            return;
        }
        sendTo(route.get());
    }

    private void sendTo(Route route) {
        triedTargets.add(route.target());
        lastRoute = Optional.of(route);
        Attempt attempt = new Attempt(route, dependencies.fleet().recordSent(route.target()));
        current = Optional.of(attempt);
        attempt.start();
    }

    private RouteRequest routeRequest() {
        RouteRequest routeRequest = RouteRequest.ofAdapter(baseModel, adapter).withExcluded(triedTargets);
        return prefix.map(routeRequest::withPrefix).orElse(routeRequest);
    }

    private static Optional<PrefixDigest> prefixOf(AdapterReference adapter, GenerationRequest request) {
        if (request.prefixLength() == 0) {
            return Optional.empty();
        }
        byte[] prefixBytes =
                request.prompt().substring(0, request.prefixLength()).getBytes(StandardCharsets.UTF_8);
        return Optional.of(PrefixDigest.of(adapter, prefixBytes));
    }

    private Run runOf(AttemptId attempt) {
        return Run.newBuilder()
                .setAttempt(attempt.value())
                .setDeadlineLeftMillis(remainingTime().toMillis())
                .setAccount(caller.id().value())
                .setKeyDigest(ByteString.copyFrom(caller.key().toBytes()))
                .setAdapter(adapter.adapter())
                .setVersion(adapter.version())
                .setBody(ByteString.copyFromUtf8(request.prompt()))
                .setMaximumTokens(request.maximumTokens())
                .setPriority(caller.account().priority())
                .setRepeatable(true)
                .setRevision(dependencies.authorizer().current().revision())
                .setPromptTokens(reservedTokens - request.maximumTokens())
                .setCredit(INITIAL_CREDIT_CHUNKS)
                .build();
    }

    /** One attempt at one target. Its events are ignored unless it is the call's current attempt. */
    private final class Attempt implements AttemptListener {

        private final Route route;
        private final SentRequest sentRequest;
        private Optional<AttemptHandle> handle = Optional.empty();
        private int pendingCredit;

        Attempt(Route route, SentRequest sentRequest) {
            this.route = route;
            this.sentRequest = sentRequest;
        }

        void start() {
            Run run = runOf(AttemptId.random(dependencies.random()));
            AttemptHandle newHandle = dependencies.attempts().run(route.instance(), run, this);
            handle = Optional.of(newHandle);
            if (pendingCredit > 0) {
                newHandle.request(pendingCredit);
            }
        }

        private boolean isCurrent() {
            return !ended && current.filter(this::equals).isPresent();
        }

        @Override
        public void onAccepted() {
            sentRequest.onAccepted();
        }

        @Override
        public void onChunk(long sequence, ByteString payload, int tokens) {
            synchronized (GenerationCall.this) {
                if (isCurrent()) {
                    recordPartTiming(tokens);
                    sink.writePart(payload.toStringUtf8(), this::requestMore);
                }
            }
        }

        private void requestMore() {
            synchronized (GenerationCall.this) {
                if (handle.isEmpty()) {
                    pendingCredit++;
                    return;
                }
            }
            handle.get().request(1);
        }

        @Override
        public void onEnded(End end) {
            sentRequest.onEnded();
            dependencies.fleet().recordSuccess(route.target());
            prefix.ifPresent(
                    digest -> dependencies.fleet().recordPrefixResult(digest, route.target(), end.getPrefixHit()));
            synchronized (GenerationCall.this) {
                if (isCurrent()) {
                    finish(end);
                }
            }
        }

        @Override
        public void onRefused(Refused refused) {
            sentRequest.onEnded();
            ResultCode code = ResultCode.ofNumber(refused.getCode()).orElse(ResultCode.INTERNAL_ERROR);
            ServingException failure =
                    ServingException.of(code, executionStatusOf(refused.getRan()), refused.getMessage());
            if (refused.getRetryAfterMillis() > 0) {
                failure = failure.withRetryAfter(Duration.ofMillis(refused.getRetryAfterMillis()));
            }
            onFailure(failure, RefusalClassifier.isTargetFailure(code), RefusalClassifier.isRetryable(code));
        }

        @Override
        public void onLost(ExecutionStatus ran, String reason) {
            sentRequest.onEnded();
            onFailure(ServingException.of(ResultCode.ANSWER_INTERRUPTED, ran, reason), true, true);
        }

        private void onFailure(ServingException failure, boolean targetFailure, boolean retryable) {
            boolean isKept = RefusalClassifier.mayReturn(failure) && !hasOtherTarget();
            // A silent target that is ejected while no other can run the request would get no new ones when it goes on.
            if (targetFailure && !isKept) {
                dependencies.fleet().recordFailure(route.target());
            }
            synchronized (GenerationCall.this) {
                if (!isCurrent()) {
                    return;
                }
                lastFailure = Optional.of(failure);
                if (isKept) {
                    returnTo(route);
                } else {
                    retryOrFail(failure, retryable);
                }
            }
        }

        void cancel(String reason) {
            handle.ifPresent(running -> running.cancel(reason));
        }
    }

    private static ExecutionStatus executionStatusOf(int ran) {
        return ran == 0 ? ExecutionStatus.NO : ExecutionStatus.UNKNOWN;
    }

    private synchronized boolean hasOtherTarget() {
        return dependencies.fleet().route(routeRequest()).isPresent();
    }

    /** Sends the request to the target that has just refused it as not run, after the refusal's delay. */
    private void returnTo(Route route) {
        Duration delay = lastFailure.flatMap(ServingException::retryAfter).orElseThrow();
        EventLog.write(
                EventCode.ATTEMPT_RETURNED,
                "{} {} to {} in {} ms, {} ms left",
                caller.id(),
                adapter,
                route.target(),
                delay.toMillis(),
                remainingTime().toMillis());
        current = Optional.empty();
        dependencies.timer().schedule(() -> sendAgainTo(route), delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    private synchronized void sendAgainTo(Route route) {
        if (!ended) {
            sendTo(route);
        }
    }

    private void retryOrFail(ServingException failure, boolean retryable) {
        mayHaveRun |= failure.executionStatus() != ExecutionStatus.NO;
        RetryPolicy.FailedAttempt attempt = new RetryPolicy.FailedAttempt(
                true, failure.executionStatus(), sink.hasSentParts(), failures + 1, remainingTime());
        Optional<Duration> delay = retryable ? dependencies.retryPolicy().decide(attempt) : Optional.empty();
        if (delay.isEmpty()) {
            if (RefusalClassifier.mayReturn(failure)) {
                returnTo(lastRoute.orElseThrow());
            } else {
                fail(failure);
            }
            return;
        }
        failures++;
        EventLog.write(EventCode.ATTEMPT_RETRIED, "{} {} after {}", caller.id(), adapter, failure.code());
        current = Optional.empty();
        sink.restart();
        receivedParts = 0;
        if (failure.executionStatus() != ExecutionStatus.NO) {
            // The failed attempt may have used all of its tokens. A retry on the same reservation could bring the
            // client account above its rate, so the retry needs its own reservation.
            reservation.ifPresent(used -> used.settle(used.tokens()));
            reservation = Optional.empty();
        }
        dependencies.timer().schedule(this::sendAgain, delay.get().toNanos(), TimeUnit.NANOSECONDS);
    }

    private synchronized void sendAgain() {
        if (ended) {
            return;
        }
        if (reservation.isEmpty()) {
            dependencies.budget().reserve(caller.id(), reservedTokens, remainingTime(), this);
            return;
        }
        send();
    }

    private void recordPartTiming(int tokens) {
        long now = dependencies.clock().nanos();
        if (receivedParts == 0) {
            meters.recordFirstToken(now - startNanos);
        } else if (tokens > 0) {
            meters.recordBetweenTokens((now - lastPartNanos) / tokens);
        }
        receivedParts++;
        lastPartNanos = now;
    }

    private void finish(End end) {
        close(end.getPromptTokens() + (long) end.getGeneratedTokens());
        dependencies.retryBudget().onSuccess();
        meters.countTokens(end.getPromptTokens(), end.getGeneratedTokens());
        meters.recordWaits(end.getQueueMicros(), end.getLoadMicros());
        meters.countResult(ResultCode.OK);
        sink.finish(
                new OpenAiResponseWriter.Usage(end.getPromptTokens(), end.getGeneratedTokens()), end.getFinishReason());
    }

    private void fail(ServingException failure) {
        if (ended) {
            return;
        }
        // "Not run" is true of the request only if it is true of every attempt: an earlier one may have run when a
        // later one has not.
        mayHaveRun |= failure.executionStatus() != ExecutionStatus.NO;
        ServingException reported = mayHaveRun ? failure.withExecutionStatus(ExecutionStatus.UNKNOWN) : failure;
        // Tokens that an attempt may have used count as used, so that a failing target never lets an account exceed its
        // rate.
        close(mayHaveRun ? reservation.map(Reservation::tokens).orElse(0L) : 0);
        meters.countResult(reported.code());
        EventLog.write(EventCode.REQUEST_REFUSED, "{} {} {}", caller.id(), adapter, reported.code());
        sink.fail(reported);
    }

    private void close(long usedTokens) {
        ended = true;
        tickTask.ifPresent(task -> task.cancel(false));
        deadlineTask.ifPresent(task -> task.cancel(false));
        reservation.ifPresent(held -> held.settle(usedTokens));
        dependencies.activeCalls().remove(caller.key(), this);
    }

    private synchronized void onTick() {
        if (!ended) {
            sink.onTick();
        }
    }

    private synchronized void onDeadline() {
        abort(ServingException.of(ResultCode.DEADLINE_EXCEEDED, executionStatus(), "the deadline has passed"));
    }

    private ExecutionStatus executionStatus() {
        return triedTargets.isEmpty() ? ExecutionStatus.NO : ExecutionStatus.UNKNOWN;
    }

    /** Aborts the call because its caller has disconnected. */
    synchronized void onCallerGone() {
        abort(ServingException.of(ResultCode.CANCELLED, executionStatus(), "the caller went away"));
    }

    private synchronized void onKeyWithdrawn() {
        abort(ServingException.of(ResultCode.KEY_REFUSED, executionStatus(), "the key was withdrawn"));
    }

    private void abort(ServingException failure) {
        if (ended) {
            return;
        }
        current.ifPresent(running -> running.cancel(failure.code().name()));
        fail(failure);
    }
}
