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
final class EngineRunner implements TargetRunner, EngineAnswer.Owner {

    private static final int GREATEST_PUT_BACKS = 3;
    private static final long RETRY_MILLIS = 200;

    private final ModelEngine engine;
    private final Residency residency;
    private final RequestQueue<CompanionAttempt> queue;
    private final EngineWatch watch;
    private final OrderPermit permit;
    private final Outcomes outcomes;
    private final MonotonicClock clock;
    private final Duration resumeLimit;
    private final Duration orderLimit;
    private final ExecutorService sends;
    private final ExecutorService loads;
    private final ScheduledExecutorService timer;
    private final Runnable changed;
    private final Map<AttemptId, EngineAnswer> running = new ConcurrentHashMap<>();
    private final AdapterLoads adapterLoads;
    private final Object dispatching = new Object();
    private final LeftStreams left;

    /**
     * What the runner works with.
     *
     * @param engine the engine
     * @param residency its slots
     * @param queue the order of requests
     * @param watch keeps the view of the engine true
     * @param permit whether orders may be given
     * @param outcomes starts and ends attempts
     * @param clock the clock
     * @param resumeLimit how long a broken stream is asked for
     * @param orderLimit how long an order may be carried out
     * @param sends runs short calls of the engine
     * @param loads runs loads
     * @param timer runs what is due later
     * @param changed told when there is something new to report
     */
    record Collaborators(
            ModelEngine engine,
            Residency residency,
            RequestQueue<CompanionAttempt> queue,
            EngineWatch watch,
            OrderPermit permit,
            Outcomes outcomes,
            MonotonicClock clock,
            Duration resumeLimit,
            Duration orderLimit,
            ExecutorService sends,
            ExecutorService loads,
            ScheduledExecutorService timer,
            Runnable changed) {}

    EngineRunner(Collaborators with) {
        this.engine = with.engine();
        this.residency = with.residency();
        this.queue = with.queue();
        this.watch = with.watch();
        this.permit = with.permit();
        this.outcomes = with.outcomes();
        this.clock = with.clock();
        this.resumeLimit = with.resumeLimit();
        this.orderLimit = with.orderLimit();
        this.sends = with.sends();
        this.loads = with.loads();
        this.timer = with.timer();
        this.changed = with.changed();
        this.adapterLoads = new AdapterLoads(engine, residency, queue, watch, permit, outcomes, clock);
        this.left = new LeftStreams(watch.streams());
    }

    /**
     * Gives entries a time to ask for the streams that a former companion left, and then stops the others.
     *
     * @param limit the time, not null
     */
    void stopLeftStreamsAfter(Duration limit) {
        timer.schedule(
                () -> left.takeAll().forEach(id -> sends.execute(() -> stopLeft(id))),
                limit.toNanos(),
                TimeUnit.NANOSECONDS);
    }

    private void stopLeft(AttemptId id) {
        try {
            engine.cancel(id);
            left.stopped(id);
            dispatch();
        } catch (PlatformException failure) {
            timer.schedule(() -> sends.execute(() -> stopLeft(id)), RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public boolean adopt(CompanionAttempt attempt) {
        QueuedRequest<CompanionAttempt> request = requestOf(attempt);
        Optional<Pin> pin;
        synchronized (dispatching) {
            pin = residency.pin(attempt.id(), adapterOf(request));
            if (pin.isEmpty() || !left.take(attempt.id())) {
                pin.ifPresent(Pin::release);
                return false;
            }
        }
        EngineAnswer answer = new EngineAnswer(request, pin, watch.incarnation(), 0, 0, this);
        running.put(attempt.id(), answer);
        outcomes.start(attempt);
        sends.execute(() -> resume(answer));
        return true;
    }

    @Override
    public void submit(CompanionAttempt attempt) {
        QueuedRequest<CompanionAttempt> request = requestOf(attempt);
        if (enqueue(request)) {
            dispatch();
        }
    }

    private QueuedRequest<CompanionAttempt> requestOf(CompanionAttempt attempt) {
        long tokens = attempt.named().getPromptTokens() + attempt.named().getMaximumTokens();
        return new QueuedRequest<>(
                attempt.id(),
                attempt.account(),
                attempt.adapter(),
                Math.max(1, tokens),
                attempt.named().getPriority(),
                attempt.deadline(),
                attempt);
    }

    private boolean enqueue(QueuedRequest<CompanionAttempt> request) {
        AdapterReference adapter = adapterOf(request);
        AdapterRequestResult answer =
                residency.request(request.attempt(), request.account(), adapter, request.tokens());
        if (answer.state() == AdapterRequestResult.State.REFUSED) {
            outcomes.refused(
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
        synchronized (dispatching) {
            takeRequests(started);
            if (left.isEmpty()) {
                residency.startLoads().forEach(order -> started.add(() -> loads.execute(() -> load(order))));
            }
        }
        started.forEach(Runnable::run);
        changed.run();
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
            long incarnation = watch.incarnation();
            started.add(() -> sends.execute(() -> send(request, pin.get(), incarnation)));
            next = queue.take(residency::isReady);
        }
    }

    private void send(QueuedRequest<CompanionAttempt> request, Pin pin, long incarnation) {
        EngineAnswer answer = answerOf(request, pin, incarnation);
        if (!watch.confirm()) {
            end(answer, 0, 0);
            refuse(answer, ResultCode.TARGET_FAILED, ExecutionStatus.NO, "the engine does not answer");
            return;
        }
        if (watch.incarnation() != incarnation) {
            putBack(answer);
            return;
        }
        Optional<Order> order = permit.order(clock.nanos());
        if (order.isEmpty()) {
            end(answer, 0, 0);
            refuse(answer, ResultCode.FENCED, ExecutionStatus.NO, "this companion may not give the target orders");
            return;
        }
        running.put(request.attempt(), answer);
        if (!outcomes.start(request.payload())) {
            end(answer, 0, 0);
            return;
        }
        generate(answer, order.get());
    }

    private EngineAnswer answerOf(QueuedRequest<CompanionAttempt> request, Pin pin, long incarnation) {
        long arrivedAt = request.payload().arrivedAt();
        long now = clock.nanos();
        long loading = adapterLoads.waited(adapterOf(request), arrivedAt, now);
        return new EngineAnswer(request, Optional.of(pin), incarnation, now - arrivedAt - loading, loading, this);
    }

    private void generate(EngineAnswer answer, Order order) {
        CompanionAttempt attempt = answer.attempt();
        ModelEngine.Generation generation = new ModelEngine.Generation(
                attempt.id(),
                attempt.account(),
                adapterOf(answer.request()),
                attempt.body().toStringUtf8(),
                attempt.named().getMaximumTokens(),
                attempt.named().getPriority());
        answer.attach(engine.generate(generation, order, answer));
    }

    private void putBack(EngineAnswer answer) {
        end(answer, 0, 0);
        CompanionAttempt attempt = answer.attempt();
        if (attempt.countPutBack() > GREATEST_PUT_BACKS) {
            refuse(answer, ResultCode.TARGET_FAILED, ExecutionStatus.NO, "the engine does not keep the adapter");
            return;
        }
        attempt.forgetDemand();
        outcomes.putBack(attempt);
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
    private void end(EngineAnswer answer, long tokensUsed, long generated) {
        if (!answer.release()) {
            return;
        }
        running.remove(answer.attempt().id(), answer);
        queue.onFinished(answer.attempt().id(), tokensUsed, generated);
    }

    private void refuse(EngineAnswer answer, ResultCode code, ExecutionStatus ran, String message) {
        outcomes.refused(answer.attempt(), ServingException.of(code, ran, message));
        dispatch();
    }

    @Override
    public void ended(EngineAnswer answer, End end) {
        outcomes.ended(answer.attempt(), end);
        end(answer, (long) end.getPromptTokens() + end.getGeneratedTokens(), end.getGeneratedTokens());
        dispatch();
    }

    @Override
    public void servedWrong(EngineAnswer answer, AdapterReference served) {
        AdapterReference named = adapterOf(answer.request());
        EventLog.write(
                EventCode.WRONG_ADAPTER_SERVED,
                "{}: {} named, {} served",
                answer.attempt().id(),
                named,
                served);
        answer.stopListening();
        outcomes.refused(
                answer.attempt(),
                ServingException.of(
                        ResultCode.WRONG_ADAPTER_SERVED,
                        ExecutionStatus.YES,
                        "the target ran " + served + " in place of " + named));
        watch.invalidate();
        stop(answer);
    }

    @Override
    public void notStarted(EngineAnswer answer, PlatformException failure) {
        switch (failure.reason()) {
            case NOT_RESIDENT -> {
                watch.invalidate();
                sends.execute(() -> {
                    end(answer, 0, 0);
                    watch.confirm();
                    putBack(answer);
                });
            }
            case FENCED -> {
                permit.fencedOut();
                end(answer, 0, 0);
                refuse(answer, ResultCode.FENCED, ExecutionStatus.NO, "a newer companion has taken over the target");
            }
            default -> {
                watch.invalidate();
                end(answer, 0, 0);
                refuse(answer, ResultCode.TARGET_FAILED, ExecutionStatus.NO, failure.getMessage());
            }
        }
    }

    /**
     * Goes on with a stream whose connection broke: the engine goes on with it, and holds what was not read. Only an engine
     * that does not know it any more, or cannot be reached for too long, ends it.
     */
    @Override
    public void broken(EngineAnswer answer, PlatformException failure) {
        watch.invalidate();
        boolean unknown = failure.effect() == PlatformException.Effect.NONE;
        if (unknown || answer.isOverdue(clock.nanos(), resumeLimit)) {
            answer.stopListening();
            refuse(answer, ResultCode.ANSWER_INTERRUPTED, ranSoFar(answer), failure.getMessage());
            stoppable(answer);
            return;
        }
        timer.schedule(() -> sends.execute(() -> resume(answer)), RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static ExecutionStatus ranSoFar(EngineAnswer answer) {
        return answer.hasBegun() ? ExecutionStatus.YES : ExecutionStatus.UNKNOWN;
    }

    private void resume(EngineAnswer answer) {
        if (answer.isCancelled()) {
            return;
        }
        answer.resuming();
        CompanionAttempt attempt = answer.attempt();
        answer.attachResumed(engine.resume(attempt.id(), attempt.nextFromTarget(), answer));
    }

    @Override
    public void cancel(CompanionAttempt attempt) {
        EngineAnswer answer = running.get(attempt.id());
        if (answer != null && answer.cancel()) {
            stop(answer);
        }
    }

    /**
     * Stops a stream. One that was never heard of may still be on its way to the engine, and starts there as long as its
     * order is valid; it is stopped after that, and holds its pin until then.
     */
    @Override
    public void stoppable(EngineAnswer answer) {
        if (answer.hasBegun()) {
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
    private void stop(EngineAnswer answer) {
        sends.execute(() -> {
            try {
                engine.cancel(answer.attempt().id());
                end(answer, 0, 0);
                dispatch();
            } catch (PlatformException failure) {
                stopLater(answer);
            }
        });
    }

    private void stopLater(EngineAnswer answer) {
        watch.invalidate();
        if (watch.confirm() && watch.incarnation() != answer.engineIncarnation()) {
            end(answer, 0, 0);
            dispatch();
            return;
        }
        timer.schedule(() -> stop(answer), RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void load(AdapterLoadCommand order) {
        adapterLoads.carryOut(order);
        dispatch();
    }

    @Override
    public void acknowledged(CompanionAttempt attempt) {
        Optional.ofNullable(running.get(attempt.id())).ifPresent(EngineAnswer::demand);
    }

    @Override
    public void tick() {
        sends.execute(watch::confirm);
        dispatch();
    }

    @Override
    public void describe(Status.Builder status) {
        status.setRunning(queue.runningCount())
                .setQueued(queue.waitingCount())
                .setQueuedTokens(queue.waitingTokens())
                .setConcurrencyLimit(queue.concurrencyLimit())
                .setEngineIncarnation(watch.incarnation());
        residency.resident().forEach(adapter -> status.addResident(adapter.toString()));
        residency.loading().forEach(adapter -> status.addLoading(adapter.toString()));
    }

    @Override
    public int unfinished() {
        return queue.runningCount() + queue.waitingCount();
    }
}
