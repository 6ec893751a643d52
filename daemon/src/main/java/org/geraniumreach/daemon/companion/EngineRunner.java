package org.geraniumreach.daemon.companion;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.geraniumreach.daemon.event.EventLog;
import org.geraniumreach.messages.End;
import org.geraniumreach.messages.Status;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.ExecutionStatus;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServingException;
import org.geraniumreach.ports.ModelEngine;
import org.geraniumreach.ports.ModelEngine.Order;
import org.geraniumreach.ports.PlatformException;
import org.geraniumreach.serving.queue.QueuedRequest;
import org.geraniumreach.serving.queue.RequestQueue;
import org.geraniumreach.serving.residency.AdapterLoadCommand;
import org.geraniumreach.serving.residency.AdapterRequestResult;
import org.geraniumreach.serving.residency.Pin;
import org.geraniumreach.serving.residency.Residency;

/**
 * Runs attempts on a model engine.
 *
 * <p>Invariants: a request is sent only while its adapter is pinned, after a look at the engine that is recent, and with the
 * fence; the pin is held until the engine no longer runs the stream. A request that the engine shows not to have started
 * goes back into the queue if the view of its slots was wrong, and is refused as not run otherwise. Safe for use by several
 * threads; what blocks runs on the executors.
 */
final class EngineRunner implements TargetRunner, AttemptStream.Listener {

    private static final int MAX_REQUEUES = 3;
    private static final long RETRY_DELAY_MILLIS = 200;

    private final ModelEngine engine;
    private final Residency residency;
    private final RequestQueue<CompanionAttempt> queue;
    private final EngineMonitor engineMonitor;
    private final OrderAuthorization authorization;
    private final AttemptLifecycle lifecycle;
    private final MonotonicClock clock;
    private final Duration resumeLimit;
    private final Duration orderLimit;
    private final ExecutorService sendExecutor;
    private final ExecutorService loadExecutor;
    private final ScheduledExecutorService timer;
    private final Runnable onChange;
    private final Map<AttemptId, AttemptStream> running = new ConcurrentHashMap<>();
    private final AdapterLoader adapterLoader;
    private final Object dispatchLock = new Object();
    private final InheritedStreams inheritedStreams;

    /**
     * What the runner works with.
     *
     * @param engine the engine
     * @param residency its slots
     * @param queue the order of requests
     * @param engineMonitor keeps the view of the engine true
     * @param authorization whether orders may be given
     * @param lifecycle starts and ends attempts
     * @param clock the clock
     * @param resumeLimit how long a broken stream is asked for
     * @param orderLimit how long an order may be carried out
     * @param sendExecutor runs short calls of the engine
     * @param loadExecutor runs loads
     * @param timer runs what is due later
     * @param onChange told when there is something new to report
     */
    record Collaborators(
            ModelEngine engine,
            Residency residency,
            RequestQueue<CompanionAttempt> queue,
            EngineMonitor engineMonitor,
            OrderAuthorization authorization,
            AttemptLifecycle lifecycle,
            MonotonicClock clock,
            Duration resumeLimit,
            Duration orderLimit,
            ExecutorService sendExecutor,
            ExecutorService loadExecutor,
            ScheduledExecutorService timer,
            Runnable onChange) {}

    EngineRunner(Collaborators with) {
        this.engine = with.engine();
        this.residency = with.residency();
        this.queue = with.queue();
        this.engineMonitor = with.engineMonitor();
        this.authorization = with.authorization();
        this.lifecycle = with.lifecycle();
        this.clock = with.clock();
        this.resumeLimit = with.resumeLimit();
        this.orderLimit = with.orderLimit();
        this.sendExecutor = with.sendExecutor();
        this.loadExecutor = with.loadExecutor();
        this.timer = with.timer();
        this.onChange = with.onChange();
        this.adapterLoader =
                new AdapterLoader(engine, residency, queue, engineMonitor, authorization, lifecycle, clock);
        this.inheritedStreams = new InheritedStreams(engineMonitor.streams());
    }

    /**
     * Gives entries a time to ask for the streams that a former companion left, and then stops the others.
     *
     * @param limit the time, not null
     */
    void stopInheritedStreamsAfter(Duration limit) {
        timer.schedule(
                () -> inheritedStreams.claimAll().forEach(id -> sendExecutor.execute(() -> stopInherited(id))),
                limit.toNanos(),
                TimeUnit.NANOSECONDS);
    }

    private void stopInherited(AttemptId id) {
        try {
            engine.cancel(id);
            inheritedStreams.onStopped(id);
            dispatch();
        } catch (PlatformException failure) {
            timer.schedule(
                    () -> sendExecutor.execute(() -> stopInherited(id)), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public boolean adopt(CompanionAttempt attempt) {
        QueuedRequest<CompanionAttempt> request = toQueuedRequest(attempt);
        Optional<Pin> pin;
        synchronized (dispatchLock) {
            pin = residency.pin(attempt.id(), adapterOf(request));
            if (pin.isEmpty() || !inheritedStreams.claim(attempt.id())) {
                pin.ifPresent(Pin::release);
                return false;
            }
        }
        AttemptStream answer = new AttemptStream(request, pin, engineMonitor.incarnation(), 0, 0, this);
        running.put(attempt.id(), answer);
        lifecycle.start(attempt);
        sendExecutor.execute(() -> resume(answer));
        return true;
    }

    @Override
    public void submit(CompanionAttempt attempt) {
        QueuedRequest<CompanionAttempt> request = toQueuedRequest(attempt);
        if (enqueue(request)) {
            dispatch();
        }
    }

    private QueuedRequest<CompanionAttempt> toQueuedRequest(CompanionAttempt attempt) {
        long tokens = attempt.runWithoutBody().getPromptTokens()
                + attempt.runWithoutBody().getMaximumTokens();
        return new QueuedRequest<>(
                attempt.id(),
                attempt.account(),
                attempt.adapter(),
                Math.max(1, tokens),
                attempt.runWithoutBody().getPriority(),
                attempt.deadline(),
                attempt);
    }

    private boolean enqueue(QueuedRequest<CompanionAttempt> request) {
        AdapterReference adapter = adapterOf(request);
        AdapterRequestResult answer =
                residency.request(request.attempt(), request.account(), adapter, request.tokens());
        if (answer.state() == AdapterRequestResult.State.REFUSED) {
            lifecycle.refuse(
                    request.payload(),
                    ServingException.notRun(ResultCode.LOAD_FAILED, "the load of " + adapter + " failed a moment ago")
                            .withRetryAfter(answer.delay()));
            return false;
        }
        queue.offer(request);
        return true;
    }

    private static AdapterReference adapterOf(QueuedRequest<CompanionAttempt> request) {
        return request.adapter().orElseThrow();
    }

    @Override
    public void withdraw(CompanionAttempt attempt) {
        queue.remove(attempt.id());
        residency.cancel(attempt.id());
        dispatch();
    }

    /** Starts what may start now: requests whose adapters are resident, and loads. */
    private void dispatch() {
        List<Runnable> started = new ArrayList<>();
        synchronized (dispatchLock) {
            takeRequests(started);
            if (inheritedStreams.isEmpty()) {
                residency.startLoads().forEach(order -> started.add(() -> loadExecutor.execute(() -> load(order))));
            }
        }
        started.forEach(Runnable::run);
        onChange.run();
    }

    private void takeRequests(List<Runnable> started) {
        Optional<QueuedRequest<CompanionAttempt>> next = queue.take(residency::isReady);
        while (next.isPresent()) {
            QueuedRequest<CompanionAttempt> request = next.get();
            Optional<Pin> pin = residency.pin(request.attempt(), adapterOf(request));
            if (pin.isEmpty()) {
                queue.onFinished(request.attempt(), 0, 0);
                queue.offer(request);
                return;
            }
            long incarnation = engineMonitor.incarnation();
            started.add(() -> sendExecutor.execute(() -> send(request, pin.get(), incarnation)));
            next = queue.take(residency::isReady);
        }
    }

    private void send(QueuedRequest<CompanionAttempt> request, Pin pin, long incarnation) {
        AttemptStream answer = toStream(request, pin, incarnation);
        if (!engineMonitor.refreshIfStale()) {
            release(answer, 0, 0);
            refuse(answer, ResultCode.TARGET_FAILED, ExecutionStatus.NO, "the engine does not answer");
            return;
        }
        if (engineMonitor.incarnation() != incarnation) {
            requeue(answer);
            return;
        }
        Optional<Order> order = authorization.authorize(clock.nanos());
        if (order.isEmpty()) {
            release(answer, 0, 0);
            refuse(answer, ResultCode.FENCED, ExecutionStatus.NO, "this companion may not give the target orders");
            return;
        }
        running.put(request.attempt(), answer);
        if (!lifecycle.start(request.payload())) {
            release(answer, 0, 0);
            return;
        }
        generate(answer, order.get());
    }

    private AttemptStream toStream(QueuedRequest<CompanionAttempt> request, Pin pin, long incarnation) {
        long arrivedAt = request.payload().arrivedAt();
        long now = clock.nanos();
        long loading = adapterLoader.loadWaitNanos(adapterOf(request), arrivedAt, now);
        return new AttemptStream(request, Optional.of(pin), incarnation, now - arrivedAt - loading, loading, this);
    }

    private void generate(AttemptStream answer, Order order) {
        CompanionAttempt attempt = answer.attempt();
        ModelEngine.Generation generation = new ModelEngine.Generation(
                attempt.id(),
                attempt.account(),
                adapterOf(answer.request()),
                attempt.body().toStringUtf8(),
                attempt.runWithoutBody().getMaximumTokens(),
                attempt.runWithoutBody().getPriority());
        answer.attach(engine.generate(generation, order, answer));
    }

    private void requeue(AttemptStream answer) {
        release(answer, 0, 0);
        CompanionAttempt attempt = answer.attempt();
        if (attempt.countRequeue() > MAX_REQUEUES) {
            refuse(answer, ResultCode.TARGET_FAILED, ExecutionStatus.NO, "the engine does not keep the adapter");
            return;
        }
        attempt.resetDemand();
        lifecycle.requeue(attempt);
        if (enqueue(answer.request())) {
            dispatch();
        }
    }

    /**
     * Ends a stream's hold on the engine: its pin and its place in the batch.
     *
     * @param answer the stream, not null
     * @param tokensUsed what it cost
     * @param generated the tokens generated
     */
    private void release(AttemptStream answer, long tokensUsed, long generated) {
        if (!answer.releasePin()) {
            return;
        }
        running.remove(answer.attempt().id(), answer);
        queue.onFinished(answer.attempt().id(), tokensUsed, generated);
    }

    private void refuse(AttemptStream answer, ResultCode code, ExecutionStatus ran, String message) {
        lifecycle.refuse(answer.attempt(), ServingException.of(code, ran, message));
        dispatch();
    }

    @Override
    public void onEnded(AttemptStream answer, End end) {
        lifecycle.end(answer.attempt(), end);
        release(answer, (long) end.getPromptTokens() + end.getGeneratedTokens(), end.getGeneratedTokens());
        dispatch();
    }

    @Override
    public void onWrongAdapterServed(AttemptStream answer, AdapterReference served) {
        AdapterReference named = adapterOf(answer.request());
        EventLog.write(
                EventCode.WRONG_ADAPTER_SERVED,
                "{}: {} named, {} served",
                answer.attempt().id(),
                named,
                served);
        answer.detach();
        lifecycle.refuse(
                answer.attempt(),
                ServingException.of(
                        ResultCode.WRONG_ADAPTER_SERVED,
                        ExecutionStatus.YES,
                        "the target ran " + served + " in place of " + named));
        engineMonitor.invalidate();
        stop(answer);
    }

    @Override
    public void onNotStarted(AttemptStream answer, PlatformException failure) {
        switch (failure.reason()) {
            case NOT_RESIDENT -> {
                engineMonitor.invalidate();
                sendExecutor.execute(() -> {
                    release(answer, 0, 0);
                    engineMonitor.refreshIfStale();
                    requeue(answer);
                });
            }
            case FENCED -> {
                authorization.onFencedOut();
                release(answer, 0, 0);
                refuse(answer, ResultCode.FENCED, ExecutionStatus.NO, "a newer companion has taken over the target");
            }
            default -> {
                engineMonitor.invalidate();
                release(answer, 0, 0);
                refuse(answer, ResultCode.TARGET_FAILED, ExecutionStatus.NO, failure.getMessage());
            }
        }
    }

    /**
     * Goes on with a stream whose connection broke: the engine goes on with it, and holds what was not read. Only an engine
     * that does not know it any more, or cannot be reached for too long, ends it.
     */
    @Override
    public void onBroken(AttemptStream answer, PlatformException failure) {
        engineMonitor.invalidate();
        boolean unknown = failure.effect() == PlatformException.Effect.NONE;
        if (unknown || answer.isBrokenLongerThan(clock.nanos(), resumeLimit)) {
            answer.detach();
            refuse(answer, ResultCode.ANSWER_INTERRUPTED, executionStatus(answer), failure.getMessage());
            onStoppable(answer);
            return;
        }
        timer.schedule(() -> sendExecutor.execute(() -> resume(answer)), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static ExecutionStatus executionStatus(AttemptStream answer) {
        return answer.hasStarted() ? ExecutionStatus.YES : ExecutionStatus.UNKNOWN;
    }

    private void resume(AttemptStream answer) {
        if (answer.isCancelled()) {
            return;
        }
        answer.markResumed();
        CompanionAttempt attempt = answer.attempt();
        answer.attachResumed(engine.resume(attempt.id(), attempt.nextExpectedSequence(), answer));
    }

    @Override
    public void cancel(CompanionAttempt attempt) {
        AttemptStream answer = running.get(attempt.id());
        if (answer != null && answer.cancel()) {
            stop(answer);
        }
    }

    /**
     * Stops a stream. One that was never heard of may still be on its way to the engine, and starts there as long as its
     * order is valid; it is stopped after that, and holds its pin until then.
     */
    @Override
    public void onStoppable(AttemptStream answer) {
        if (answer.hasStarted()) {
            stop(answer);
        } else {
            timer.schedule(() -> stop(answer), orderLimit.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    /**
     * Stops a stream at the engine, trying again until it is known to be gone; its adapter stays pinned for as long, since
     * the engine may still be running on it.
     *
     * @param answer the stream, not null
     */
    private void stop(AttemptStream answer) {
        sendExecutor.execute(() -> {
            try {
                engine.cancel(answer.attempt().id());
                release(answer, 0, 0);
                dispatch();
            } catch (PlatformException failure) {
                retryStop(answer);
            }
        });
    }

    private void retryStop(AttemptStream answer) {
        engineMonitor.invalidate();
        if (engineMonitor.refreshIfStale() && engineMonitor.incarnation() != answer.engineIncarnation()) {
            release(answer, 0, 0);
            dispatch();
            return;
        }
        timer.schedule(() -> stop(answer), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void load(AdapterLoadCommand order) {
        adapterLoader.execute(order);
        dispatch();
    }

    @Override
    public void onAcknowledged(CompanionAttempt attempt) {
        Optional.ofNullable(running.get(attempt.id())).ifPresent(AttemptStream::requestChunks);
    }

    @Override
    public void tick() {
        sendExecutor.execute(engineMonitor::refreshIfStale);
        dispatch();
    }

    @Override
    public void describe(Status.Builder status) {
        status.setRunning(queue.runningCount())
                .setQueued(queue.waitingCount())
                .setQueuedTokens(queue.waitingTokens())
                .setConcurrencyLimit(queue.concurrencyLimit())
                .setEngineIncarnation(engineMonitor.incarnation());
        residency.resident().forEach(adapter -> status.addResident(adapter.toString()));
        residency.loading().forEach(adapter -> status.addLoading(adapter.toString()));
    }

    @Override
    public int unfinishedCount() {
        return queue.runningCount() + queue.waitingCount();
    }
}
