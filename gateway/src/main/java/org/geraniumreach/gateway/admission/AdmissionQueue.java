package org.geraniumreach.gateway.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.function.DoubleSupplier;

import org.geraniumreach.gateway.admission.AdmissionDecision.Admitted;
import org.geraniumreach.gateway.admission.AdmissionDecision.Queued;
import org.geraniumreach.gateway.admission.AdmissionDecision.Reason;
import org.geraniumreach.gateway.admission.AdmissionDecision.Rejected;

/**
 * Decides which requests may be sent to one target, and when.
 *
 * <p>Confined to the event loop.
 */
public final class AdmissionQueue {

    /** The largest number of requests that wait. */
    public static final int MAXIMUM_WAITING = 128;

    private final AdmissionSettings settings;
    private final DoubleSupplier tokensPerMilli;
    private final Map<Long, AdmissionRequest> waiting = new LinkedHashMap<>();
    private final Map<Long, Long> admittedAt = new HashMap<>();

    /**
     * Creates an empty queue.
     *
     * @param settings the bounds, not null
     * @param tokensPerMilli the prompt tokens that the target reads per millisecond now, read at each decision; a value that
     *         is not above 0 or not finite does not limit, not null
     */
    public AdmissionQueue(AdmissionSettings settings, DoubleSupplier tokensPerMilli) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.tokensPerMilli = Objects.requireNonNull(tokensPerMilli, "tokensPerMilli");
    }

    /**
     * Decides on a request.
     *
     * <p>The caller polls afterwards, since the request may have displaced others.
     *
     * @param id the id of the request, which no other request that waits or is admitted has
     * @param request the request, not null
     * @param now the current time, in nanoseconds
     * @return the decision, not null
     */
    public AdmissionDecision offer(long id, AdmissionRequest request, long now) {
        if (waiting.size() >= MAXIMUM_WAITING) {
            return new Rejected(Duration.ofMillis(100), Reason.QUEUE_FULL);
        }
        if (waiting.isEmpty() && hasSlot()) {
            admittedAt.put(id, now);
            return new Admitted();
        }
        waiting.put(id, request);
        return new Queued(Duration.ZERO);
    }

    private boolean hasSlot() {
        return settings.slots().isEmpty()
                || admittedAt.size() < settings.slots().getAsInt();
    }

    /**
     * Returns the requests that were admitted or rejected since the last call, in the order of the decisions.
     *
     * @param now the current time, in nanoseconds
     * @return the outcomes, each once, not null
     */
    public List<Outcome> poll(long now) {
        List<Outcome> outcomes = new ArrayList<>();
        Iterator<Long> ids = waiting.keySet().iterator();
        while (ids.hasNext() && hasSlot()) {
            long id = ids.next();
            ids.remove();
            admittedAt.put(id, now);
            outcomes.add(new Outcome(id, new Admitted()));
        }
        return outcomes;
    }

    /**
     * Removes a waiting request whose caller has gone; ignored if it does not wait.
     *
     * @param id the id of the request
     * @param now the current time, in nanoseconds
     */
    public void withdraw(long id, long now) {
        waiting.remove(id);
    }

    /**
     * Releases the slot and the memory of an admitted request that has ended; ignored if it was never admitted or is forgotten.
     *
     * @param id the id of the request
     * @param now the current time, in nanoseconds
     */
    public void end(long id, long now) {
        admittedAt.remove(id);
    }

    /**
     * Returns when the next call of {@link #poll} may return an outcome if nothing else is called before.
     *
     * @return the time, in nanoseconds, empty if it depends on other events than time, not null
     */
    public OptionalLong nextEventAt() {
        return OptionalLong.empty();
    }

    /**
     * Updates the number of requests at the target as it reports them. Those that this queue did not admit occupy slots as well.
     *
     * @param requests the number of requests that run or wait at the target
     * @param now the current time, in nanoseconds
     */
    public void reportLoad(int requests, long now) {}

    /**
     * Counts the waiting requests.
     *
     * @return the number, at most {@link #MAXIMUM_WAITING}
     */
    public int size() {
        return waiting.size();
    }

    /**
     * Computes the decayed usage of an account divided by its weight, as the order uses it.
     *
     * @param request a request of the account, not null
     * @param now the current time, in nanoseconds
     * @return the prefill time in milliseconds over the weight relative to the mean, 0 if the account has used nothing
     */
    public double usage(AdmissionRequest request, long now) {
        return 0;
    }
}
