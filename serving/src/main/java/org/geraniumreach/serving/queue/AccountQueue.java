package org.geraniumreach.serving.queue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.AttemptId;

/**
 * The waiting requests of one client account, in one FIFO queue for each adapter.
 *
 * <p>Invariant: a ready request is passed over by at most the allowed number of later ones. Guarded by the lock of its
 * {@link RequestQueue}.
 *
 * @param <T> the payload's type
 */
final class AccountQueue<T> {

    private final Map<Optional<AdapterReference>, Deque<Item<T>>> itemsByAdapter = new LinkedHashMap<>();
    private double virtualTime;
    private boolean active;
    private long waitingTokens;

    private static final class Item<T> {
        private final QueuedRequest<T> request;
        private final long arrival;
        private int passedOver;

        private Item(QueuedRequest<T> request, long arrival) {
            this.request = request;
            this.arrival = arrival;
        }
    }

    void add(QueuedRequest<T> request, long arrival) {
        itemsByAdapter
                .computeIfAbsent(request.adapter(), adapter -> new ArrayDeque<>())
                .add(new Item<>(request, arrival));
        waitingTokens += request.tokens();
    }

    /**
     * Updates whether the account has a ready request. When it gets its first one, its virtual time is raised to the
     * scheduler's, so that idle time earns no credit.
     *
     * @param ready tells which adapters can run
     * @param virtualNow the scheduler's virtual time
     * @return whether the account has a ready request
     */
    boolean activate(Readiness ready, double virtualNow) {
        boolean hasReady = false;
        for (Optional<AdapterReference> adapter : itemsByAdapter.keySet()) {
            if (isReady(adapter, ready)) {
                hasReady = true;
                break;
            }
        }
        if (hasReady && !active) {
            virtualTime = Math.max(virtualTime, virtualNow);
        }
        active = hasReady;
        return hasReady;
    }

    boolean hasReadyInBatch(RunningBatch batch, Readiness ready) {
        for (Optional<AdapterReference> adapter : itemsByAdapter.keySet()) {
            if (isReady(adapter, ready) && adapter.map(batch::count).orElse(1) > 0) {
                return true;
            }
        }
        return false;
    }

    /**
     * Removes and returns the next request; at least one must be ready.
     *
     * @param ready tells which adapters can run
     * @param batch the running requests, whose adapters are preferred
     * @param passedOverAtMost the maximum number of later requests that may run before a ready one
     * @return the request
     */
    QueuedRequest<T> take(Readiness ready, RunningBatch batch, int passedOverAtMost) {
        long latest = latestEligibleArrival(ready, passedOverAtMost);
        Item<T> chosen = null;
        int chosenRunning = 0;
        for (Map.Entry<Optional<AdapterReference>, Deque<Item<T>>> entry : itemsByAdapter.entrySet()) {
            Item<T> head = entry.getValue().peekFirst();
            if (head.arrival > latest || !isReady(entry.getKey(), ready)) {
                continue;
            }
            int running = Math.min(1, entry.getKey().map(batch::count).orElse(0));
            boolean better = chosen == null
                    || running > chosenRunning
                    || running == chosenRunning && head.arrival < chosen.arrival;
            if (better) {
                chosen = head;
                chosenRunning = running;
            }
        }
        remove(chosen.request.attempt());
        incrementPassedOver(chosen.arrival, ready);
        return chosen.request;
    }

    /*
     * Requests for an adapter that is always in the batch could run before all others of the account forever. Once a
     * ready request has been passed over the maximum number of times, only requests that arrived before it may go
     * first.
     */
    private long latestEligibleArrival(Readiness ready, int passedOverAtMost) {
        long latest = Long.MAX_VALUE;
        for (Map.Entry<Optional<AdapterReference>, Deque<Item<T>>> entry : itemsByAdapter.entrySet()) {
            if (!isReady(entry.getKey(), ready)) {
                continue;
            }
            for (Item<T> item : entry.getValue()) {
                if (item.passedOver >= passedOverAtMost) {
                    latest = Math.min(latest, item.arrival);
                    break;
                }
            }
        }
        return latest;
    }

    private void incrementPassedOver(long arrival, Readiness ready) {
        for (Map.Entry<Optional<AdapterReference>, Deque<Item<T>>> entry : itemsByAdapter.entrySet()) {
            if (!isReady(entry.getKey(), ready)) {
                continue;
            }
            for (Item<T> item : entry.getValue()) {
                if (item.arrival > arrival) {
                    break;
                }
                item.passedOver++;
            }
        }
    }

    Optional<QueuedRequest<T>> remove(AttemptId attempt) {
        for (Iterator<Deque<Item<T>>> queueIterator = itemsByAdapter.values().iterator(); queueIterator.hasNext(); ) {
            Deque<Item<T>> queue = queueIterator.next();
            for (Iterator<Item<T>> itemIterator = queue.iterator(); itemIterator.hasNext(); ) {
                QueuedRequest<T> request = itemIterator.next().request;
                if (request.attempt().equals(attempt)) {
                    itemIterator.remove();
                    waitingTokens -= request.tokens();
                    if (queue.isEmpty()) {
                        queueIterator.remove();
                    }
                    return Optional.of(request);
                }
            }
        }
        return Optional.empty();
    }

    private static boolean isReady(Optional<AdapterReference> adapter, Readiness ready) {
        return adapter.isEmpty() || ready.isReady(adapter.get());
    }

    void addCharge(double charge) {
        virtualTime += charge;
    }

    double virtualTime() {
        return virtualTime;
    }

    boolean isActive() {
        return active;
    }

    boolean isEmpty() {
        return itemsByAdapter.isEmpty();
    }

    long waitingTokens() {
        return waitingTokens;
    }
}
