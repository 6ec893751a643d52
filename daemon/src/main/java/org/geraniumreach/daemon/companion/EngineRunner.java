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
import org.geraniumreach.ports.ModelEngine.CommandFence;
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
 * <p>Invariants: a request is sent only while its adapter is pinned, with a recent state of the engine, and with the
 * fencing token; the pin is held until the engine no longer runs the stream. A request that the engine reports not to
 * have started returns to the queue if the known state of the adapter slots was wrong, and is otherwise refused as not
 * run. Safe for use by several threads; blocking calls run on the executors.
 */
final class EngineRunner implements TargetRunner, AttemptStream.Listener {

    private static final int MAX_REQUEUES = 3;
    private static final long RETRY_DELAY_MILLIS = 200;
    private static final Duration SILENT_ENGINE_RETRY_AFTER = Duration.ofMillis(200);

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
    private final TargetRest rest;

    /**
     * The services that the runner works with.
     *
     * @param engine the engine
     * @param residency the adapter slots of the engine
     * @param queue the queue of requests
     * @param engineMonitor keeps the known state of the engine up to date
     * @param authorization decides whether orders may be sent
     * @param lifecycle starts and ends attempts
     * @param clock the clock
     * @param resumeLimit how long the runner tries to resume a broken stream
     * @param orderLimit how long an order stays valid
     * @param sendExecutor runs short calls to the engine
     * @param loadExecutor runs loads of adapters
     * @param timer schedules retries
     * @param onChange called when the status has changed
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

    EngineRunner(Collaborators collaborators) {
        this.engine = collaborators.engine();
        this.residency = collaborators.residency();
        this.queue = collaborators.queue();
        this.engineMonitor = collaborators.engineMonitor();
        this.authorization = collaborators.authorization();
        this.lifecycle = collaborators.lifecycle();
        this.clock = collaborators.clock();
        this.resumeLimit = collaborators.resumeLimit();
        this.orderLimit = collaborators.orderLimit();
        this.sendExecutor = collaborators.sendExecutor();
        this.loadExecutor = collaborators.loadExecutor();
        this.timer = collaborators.timer();
        this.onChange = collaborators.onChange();
        this.adapterLoader =
                new AdapterLoader(engine, residency, queue, engineMonitor, authorization, lifecycle, clock);
        this.inheritedStreams = new InheritedStreams(engineMonitor.streams());
        this.rest = new TargetRest(clock);
    }

    /**
     * Gives entries a time limit to claim the streams that a previous companion started, and stops the remaining ones
     * after it.
     *
     * @param limit the time limit, not null
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
        AttemptStream stream = new AttemptStream(request, pin, engineMonitor.incarnation(), 0, 0, this);
        running.put(attempt.id(), stream);
        lifecycle.start(attempt);
        sendExecutor.execute(() -> resume(stream));
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
        AdapterRequestResult result =
                residency.request(request.attempt(), request.account(), adapter, request.tokens());
        if (result.state() == AdapterRequestResult.State.REFUSED) {
            lifecycle.refuse(
                    request.payload(),
                    ServingException.notRun(ResultCode.LOAD_FAILED, "the load of " + adapter + " failed a moment ago")
                            .withRetryAfter(result.delay()));
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

    /** Sends the requests whose adapters are resident, and starts loads; while no order may be sent, refuses them. */
    private void dispatch() {
        List<Runnable> actions = new ArrayList<>();
        synchronized (dispatchLock) {
            OrderAuthorization.State orders = authorization.state(clock.nanos());
            if (orders == OrderAuthorization.State.AUTHORIZED) {
                takeRequests(actions);
                startLoads(actions);
            } else if (orders == OrderAuthorization.State.REFUSED) {
                refuseRequests(actions);
            }
        }
        actions.forEach(Runnable::run);
        onChange.run();
    }

    private void takeRequests(List<Runnable> actions) {
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
            actions.add(() -> sendExecutor.execute(() -> send(request, pin.get(), incarnation)));
            next = queue.take(residency::isReady);
        }
    }

    private void startLoads(List<Runnable> actions) {
        if (inheritedStreams.isEmpty()) {
            residency.startLoads().forEach(command -> actions.add(() -> loadExecutor.execute(() -> load(command))));
        }
    }

    private void refuseRequests(List<Runnable> actions) {
        Optional<QueuedRequest<CompanionAttempt>> next = queue.take(adapter -> true);
        while (next.isPresent()) {
            QueuedRequest<CompanionAttempt> request = next.get();
            queue.onFinished(request.attempt(), 0, 0);
            residency.cancel(request.attempt());
            actions.add(() -> lifecycle.refuse(request.payload(), unauthorized()));
            next = queue.take(adapter -> true);
        }
    }

    private static ServingException unauthorized() {
        return ServingException.notRun(ResultCode.FENCED, "this companion may not give the target orders");
    }

    private void send(QueuedRequest<CompanionAttempt> request, Pin pin, long incarnation) {
        AttemptStream stream = newStream(request, pin, incarnation);
        Optional<ServingException> resting = rest.refusal();
        if (resting.isPresent()) {
            release(stream, 0, 0);
            lifecycle.refuse(stream.attempt(), resting.get());
            dispatch();
            return;
        }
        EngineMonitor.Result read = engineMonitor.readIfStale();
        if (read != EngineMonitor.Result.CURRENT) {
            release(stream, 0, 0);
            lifecycle.refuse(stream.attempt(), unansweredRead(read));
            dispatch();
            return;
        }
        if (engineMonitor.incarnation() != incarnation) {
            requeue(stream);
            return;
        }
        Optional<CommandFence> order = authorization.authorize(clock.nanos());
        if (order.isEmpty()) {
            requeue(stream);
            return;
        }
        running.put(request.attempt(), stream);
        if (!lifecycle.start(request.payload())) {
            release(stream, 0, 0);
            return;
        }
        generate(stream, order.get());
    }

    private static ServingException unansweredRead(EngineMonitor.Result read) {
        ServingException refusal = ServingException.notRun(ResultCode.TARGET_FAILED, "the engine does not answer");
        return read == EngineMonitor.Result.SILENT ? refusal.withRetryAfter(SILENT_ENGINE_RETRY_AFTER) : refusal;
    }

    private AttemptStream newStream(QueuedRequest<CompanionAttempt> request, Pin pin, long incarnation) {
        long arrivedAt = request.payload().arrivedAt();
        long now = clock.nanos();
        long loading = adapterLoader.loadWaitNanos(adapterOf(request), arrivedAt, now);
        return new AttemptStream(request, Optional.of(pin), incarnation, now - arrivedAt - loading, loading, this);
    }

    private void generate(AttemptStream stream, CommandFence order) {
        CompanionAttempt attempt = stream.attempt();
        ModelEngine.Generation generation = new ModelEngine.Generation(
                attempt.id(),
                attempt.account(),
                adapterOf(stream.request()),
                attempt.body().toStringUtf8(),
                attempt.runWithoutBody().getMaximumTokens(),
                attempt.runWithoutBody().getPriority());
        stream.attach(engine.generate(generation, order, stream));
    }

    private void requeue(AttemptStream stream) {
        release(stream, 0, 0);
        CompanionAttempt attempt = stream.attempt();
        if (attempt.countRequeue() > MAX_REQUEUES) {
            refuse(stream, ResultCode.TARGET_FAILED, ExecutionStatus.NO, "the engine does not keep the adapter");
            return;
        }
        attempt.resetDemand();
        lifecycle.requeue(attempt);
        if (enqueue(stream.request())) {
            dispatch();
        }
    }

    /**
     * Releases what a stream holds: its pin and its place in the batch.
     *
     * @param stream the stream, not null
     * @param tokensUsed the prompt tokens and generated tokens
     * @param generated the generated tokens
     */
    private void release(AttemptStream stream, long tokensUsed, long generated) {
        if (!stream.releasePin()) {
            return;
        }
        running.remove(stream.attempt().id(), stream);
        queue.onFinished(stream.attempt().id(), tokensUsed, generated);
    }

    private void refuse(AttemptStream stream, ResultCode code, ExecutionStatus executionStatus, String message) {
        lifecycle.refuse(stream.attempt(), ServingException.of(code, executionStatus, message));
        dispatch();
    }

    @Override
    public void onEnded(AttemptStream stream, End end) {
        lifecycle.end(stream.attempt(), end);
        release(stream, (long) end.getPromptTokens() + end.getGeneratedTokens(), end.getGeneratedTokens());
        dispatch();
    }

    @Override
    public void onWrongAdapterServed(AttemptStream stream, AdapterReference served) {
        AdapterReference requested = adapterOf(stream.request());
        EventLog.write(
                EventCode.WRONG_ADAPTER_SERVED,
                "{}: requested {}, served {}",
                stream.attempt().id(),
                requested,
                served);
        stream.detach();
        lifecycle.refuse(
                stream.attempt(),
                ServingException.of(
                        ResultCode.WRONG_ADAPTER_SERVED,
                        ExecutionStatus.YES,
                        "the target ran " + served + " in place of " + requested));
        engineMonitor.invalidate();
        stop(stream);
    }

    @Override
    public void onNotStarted(AttemptStream stream, PlatformException failure) {
        rest.onFailed(failure);
        switch (failure.reason()) {
            case NOT_RESIDENT -> {
                engineMonitor.invalidate();
                sendExecutor.execute(() -> {
                    release(stream, 0, 0);
                    engineMonitor.refreshIfStale();
                    requeue(stream);
                });
            }
            case FENCED -> {
                authorization.onFencedOut();
                release(stream, 0, 0);
                refuse(stream, ResultCode.FENCED, ExecutionStatus.NO, "a newer companion has taken over the target");
            }
            default -> {
                engineMonitor.invalidate();
                release(stream, 0, 0);
                refuse(stream, ResultCode.TARGET_FAILED, ExecutionStatus.NO, failure.getMessage());
            }
        }
    }

    /**
     * Resumes a stream whose connection broke: the engine continues it and keeps the chunks that were not read. The
     * stream ends only if the engine does not know it or has been unreachable for longer than the resume limit.
     */
    @Override
    public void onBroken(AttemptStream stream, PlatformException failure) {
        engineMonitor.invalidate();
        boolean isUnknown = failure.effect() == PlatformException.Effect.NONE;
        if (isUnknown || stream.isBrokenLongerThan(clock.nanos(), resumeLimit)) {
            stream.detach();
            refuse(stream, ResultCode.ANSWER_INTERRUPTED, executionStatus(stream), failure.getMessage());
            onStoppable(stream);
            return;
        }
        timer.schedule(() -> sendExecutor.execute(() -> resume(stream)), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static ExecutionStatus executionStatus(AttemptStream stream) {
        return stream.hasStarted() ? ExecutionStatus.YES : ExecutionStatus.UNKNOWN;
    }

    private void resume(AttemptStream stream) {
        if (stream.isCancelled()) {
            return;
        }
        stream.markResumed();
        CompanionAttempt attempt = stream.attempt();
        stream.attachResumed(engine.resume(attempt.id(), attempt.nextExpectedSequence(), stream));
    }

    @Override
    public void cancel(CompanionAttempt attempt) {
        AttemptStream stream = running.get(attempt.id());
        if (stream != null && stream.cancel()) {
            stop(stream);
        }
    }

    /**
     * Stops a cancelled stream. One that the engine has reported nothing of may still be on its way and can start as
     * long as its order is valid; it is stopped after the order limit and keeps its pin until then.
     */
    @Override
    public void onStoppable(AttemptStream stream) {
        if (stream.hasStarted()) {
            stop(stream);
        } else {
            timer.schedule(() -> stop(stream), orderLimit.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    /**
     * Stops a stream at the engine and retries until it is known to be gone. Its adapter stays pinned until then, since
     * the engine may still use it.
     *
     * @param stream the stream, not null
     */
    private void stop(AttemptStream stream) {
        sendExecutor.execute(() -> {
            try {
                engine.cancel(stream.attempt().id());
                release(stream, 0, 0);
                dispatch();
            } catch (PlatformException failure) {
                retryStop(stream);
            }
        });
    }

    private void retryStop(AttemptStream stream) {
        engineMonitor.invalidate();
        if (engineMonitor.refreshIfStale() && engineMonitor.incarnation() != stream.engineIncarnation()) {
            release(stream, 0, 0);
            dispatch();
            return;
        }
        timer.schedule(() -> stop(stream), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void load(AdapterLoadCommand command) {
        adapterLoader.execute(command);
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
