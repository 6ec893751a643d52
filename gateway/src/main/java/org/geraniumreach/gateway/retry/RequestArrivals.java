package org.geraniumreach.gateway.retry;

import java.util.Objects;

import org.geraniumreach.gateway.placement.Target;

/**
 * The sendings of one request, and the arrivals at targets that they have caused or may still cause.
 *
 * <p>Intended for requests whose bytes may be held back on their way, or by a target that is paused, and arrive long after they were sent.
 *
 * <p>Invariants: every sending but one that may have arrived counts as a retry. It counts at least until a window after the moment from which no
 * sending of the request can arrive any more, since an abandoned first sending may arrive after the others and is a retry then. Confined to the
 * event loop.
 */
public final class RequestArrivals {

    private final ServiceRetryBudget budget;
    private final AbandonedSendings abandonedSendings;
    private int possibleArrivals;
    private int unresolvedSendings;
    private int unresolvedRetries;
    private int resolvedRetries;

    RequestArrivals(ServiceRetryBudget budget, AbandonedSendings abandonedSendings) {
        this.budget = Objects.requireNonNull(budget, "budget");
        this.abandonedSendings = Objects.requireNonNull(abandonedSendings, "abandonedSendings");
    }

    /**
     * Queries whether another sending would be a retry.
     *
     * @return false if the request cannot have reached a target yet
     */
    public boolean mayHaveArrived() {
        return possibleArrivals > 0;
    }

    /**
     * Records that the request is sent to a target.
     *
     * @param target the target, not null
     * @return the sending, whose outcome must be reported, not null
     */
    public Sending send(Target target) {
        possibleArrivals++;
        unresolvedSendings++;
        update();
        Sending sending = new Sending(this, abandonedSendings, target);
        abandonedSendings.onSent(sending);
        return sending;
    }

    void onResolved(boolean mayHaveArrived) {
        unresolvedSendings--;
        if (!mayHaveArrived) {
            possibleArrivals--;
        }
        update();
    }

    private void update() {
        int retries = Math.max(0, possibleArrivals - 1) - resolvedRetries;
        boolean resolved = unresolvedSendings == 0;
        int unresolved = resolved ? 0 : retries;
        budget.addUnresolvedRetries(unresolved - unresolvedRetries);
        unresolvedRetries = unresolved;
        if (resolved) {
            budget.addRetries(retries);
            resolvedRetries += retries;
        }
    }
}
