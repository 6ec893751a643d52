package org.geraniumreach.gateway.retry;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

import org.geraniumreach.gateway.division.LimitDivision;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.port.TargetCallObserver;
import org.geraniumreach.gateway.port.TargetSignals;
import org.geraniumreach.gateway.process.ProcessSettings.RepeatLimits;
import org.geraniumreach.model.MonotonicClock;

/**
 * The retry budgets of all services.
 *
 * <p>Create it when the process starts. Confined to the event loop.
 */
public final class RetryBudgets implements TargetCallObserver {

    private final RepeatLimits limits;
    private final LimitDivision division;
    private final MonotonicClock clock;
    private final long startedAt;
    private final AbandonedSendings abandonedSendings;
    private final Map<String, ServiceRetryBudget> budgets = new HashMap<>();

    /**
     * Creates an empty set of budgets.
     *
     * @param limits the limits for all entries together, by service, not null
     * @param division divides the fixed retries among the entries, not null
     * @param clock the clock, not null
     */
    public RetryBudgets(RepeatLimits limits, LimitDivision division, MonotonicClock clock) {
        this.limits = Objects.requireNonNull(limits, "limits");
        this.division = Objects.requireNonNull(division, "division");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.startedAt = clock.nanos();
        this.abandonedSendings = new AbandonedSendings(clock);
    }

    private ServiceRetryBudget budgetOf(String service) {
        return budgets.computeIfAbsent(
                service, missing -> new ServiceRetryBudget(limits, () -> share(service), startedAt, clock));
    }

    private int share(String service) {
        return division.share(service, ServiceRetryBudget.dividedExtra(limits));
    }

    /**
     * Records a caller's request, which allows a fraction of a retry within the window.
     *
     * <p>It counts from its arrival, since an entry that was suspended reads the requests of that time together.
     *
     * @param service the service, not null
     * @param arrivedAt the earliest time at which it can have arrived, in nanoseconds of the clock
     * @return records what is sent of the request, not null
     */
    public RequestArrivals receive(String service, long arrivedAt) {
        ServiceRetryBudget budget = budgetOf(service);
        budget.recordRequest(arrivedAt);
        return new RequestArrivals(budget, abandonedSendings);
    }

    /** Notes that an answer shows that the target is not paused, so that what was sent to it before has arrived. */
    @Override
    public Consumer<TargetSignals> onCall(Target target) {
        long sentAt = clock.nanos();
        return signals -> abandonedSendings.onAnswered(target, sentAt);
    }

    /**
     * Records the time that a target took to answer a request without a prompt that was sent once.
     *
     * @param service the service, not null
     * @param time the time from sending the request to the first part of its answer, not null
     */
    public void recordAnswer(String service, Duration time) {
        budgetOf(service).recordAnswer(time);
    }

    /**
     * Queries whether requests that this entry has abandoned may arrive at a target together with another one. Once the target has run again, a
     * single request may be sent as a trial, whose answer shows that the others have arrived.
     *
     * @param target the target, not null
     * @return true if another request may add to those that have not arrived
     */
    public boolean mayAccumulate(Target target) {
        return abandonedSendings.mayAccumulate(target);
    }

    /**
     * Decides whether a request may be sent once more, without recording it as sent.
     *
     * @param service the service, not null
     * @param remaining the remaining time of the request, not null
     * @param estimate the time that the target is expected to need, empty for the mean time of the service's answers, not null
     * @return the decision, not null
     */
    public RetryDecision decide(String service, Duration remaining, Optional<Duration> estimate) {
        abandonedSendings.expire();
        return budgetOf(service).decide(remaining, estimate);
    }
}
