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
 * The waiting requests of one client account, in a line for each adapter.
 *
 * <p>Invariant: a request that is ready is passed over by at most the allowed number of later ones. Confined to the lock of
 * the queue that uses it.
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
        itemsByAdapter.computeIfAbsent(request.adapter(), adapter -> new ArrayDeque<>()).add(new Item<>(request, arrival));
        waitingTokens += request.tokens();
    }

    /**
     * Brings the virtual time up to now if the account had nothing ready until now.
     *
     * @param ready which adapters can run
     * @param virtualNow the queue's virtual time
     * @return whether the account has something ready
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
     * Takes the next request out; there must be a ready one.
     *
     * @param ready which adapters can run
     * @param batch what is running
     * @param passedOverAtMost how many later requests may run before a ready one
     * @return the request
     */
    QueuedRequest<T> take(Readiness ready, RunningBatch batch, int passedOverAtMost) {
        long latest = latestEligibleArrival(ready, passedOverAtMost);
        Item<T> chosen = null;
        int chosenRunning = 0;
        for (Map.Entry<Optional<AdapterReference>, Deque<Item<T>>> line : itemsByAdapter.entrySet()) {
            Item<T> head = line.getValue().peekFirst();
            if (head.arrival > latest || !isReady(line.getKey(), ready)) {
                continue;
            }
            int running = Math.min(1, line.getKey().map(batch::count).orElse(0));
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
     * An adapter that is always in the batch would let its requests run before all others of the account for ever. A ready
     * request that was passed over often enough lets none that came after it go first.
     */
    private long latestEligibleArrival(Readiness ready, int passedOverAtMost) {
        long latest = Long.MAX_VALUE;
        for (Map.Entry<Optional<AdapterReference>, Deque<Item<T>>> line : itemsByAdapter.entrySet()) {
            if (!isReady(line.getKey(), ready)) {
                continue;
            }
            for (Item<T> item : line.getValue()) {
                if (item.passedOver >= passedOverAtMost) {
                    latest = Math.min(latest, item.arrival);
                    break;
                }
            }
        }
        return latest;
    }

    private void incrementPassedOver(long arrival, Readiness ready) {
        for (Map.Entry<Optional<AdapterReference>, Deque<Item<T>>> line : itemsByAdapter.entrySet()) {
            if (!isReady(line.getKey(), ready)) {
                continue;
            }
            for (Item<T> item : line.getValue()) {
                if (item.arrival > arrival) {
                    break;
                }
                item.passedOver++;
            }
        }
    }

    Optional<QueuedRequest<T>> remove(AttemptId attempt) {
        for (Iterator<Deque<Item<T>>> each = itemsByAdapter.values().iterator(); each.hasNext(); ) {
            Deque<Item<T>> line = each.next();
            for (Iterator<Item<T>> items = line.iterator(); items.hasNext(); ) {
                QueuedRequest<T> request = items.next().request;
                if (request.attempt().equals(attempt)) {
                    items.remove();
                    waitingTokens -= request.tokens();
                    if (line.isEmpty()) {
                        each.remove();
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
