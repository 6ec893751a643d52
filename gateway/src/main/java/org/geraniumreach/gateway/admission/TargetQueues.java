package org.geraniumreach.gateway.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

import org.geraniumreach.gateway.adapter.TargetOwnership;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.placement.TargetRegistry;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.port.Timers;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.TargetId;

/**
 * The queues of the targets that this entry owns, for the requests of all entries.
 *
 * <p>Intended for many entries, each of which sends few requests to each target, so that only the owner can order them.
 *
 * <p>Invariants: requests are offered only to targets that this entry owns; each of them gets one final decision, unless it is
 * ended before, its target leaves, or this entry loses the target and the decision would be a rejection. A target that this entry
 * comes to own starts with an empty queue. Ends of requests that are not known are ignored. Confined to the event loop.
 */
public final class TargetQueues implements TargetRegistry.Listener {

    /**
     * A queued request that is not decided within its expected delay is told so again at this interval, since more urgent requests
     * delay it and its entry would otherwise take this owner for lost.
     */
    static final Duration RENEWAL_INTERVAL = Duration.ofMillis(100);

    /** Shorter than the margin after which entries take an owner for lost, by more than the delay of a link. */
    private static final Duration RENEWAL_MARGIN = Duration.ofMillis(20);

    private static final Duration MINIMUM_POLL_DELAY = Duration.ofMillis(1);

    /** Older reports of a target's load leave out requests that were admitted since. */
    private static final Duration MAXIMUM_REPORT_AGE = Duration.ofMillis(200);

    private final TargetOwnership ownership;
    private final TargetRegistry registry;
    private final Capacity capacity;
    private final Timers timers;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final AdmissionObserver observer;
    private final Map<Target, OwnedQueue> queues = new HashMap<>();
    private long lastId;

    /**
     * The capacity of targets.
     *
     * @param tokensPerMilli the prompt tokens that a target reads per millisecond now
     * @param settings the bounds of a target's queue, read when the queue is created
     */
    public record Capacity(ToDoubleFunction<Target> tokensPerMilli, Function<Target, AdmissionSettings> settings) {

        public Capacity {
            Objects.requireNonNull(tokensPerMilli, "tokensPerMilli");
            Objects.requireNonNull(settings, "settings");
        }
    }

    /** The queue of one target, with the requests that wait or are admitted in the order in which they were offered. */
    private static final class OwnedQueue {
        private final Target target;
        private final AdmissionQueue queue;
        private final Duration admittedLifetime;
        private final Map<RequestKey, Ticket> tickets = new LinkedHashMap<>();
        private final Map<Long, Ticket> waiting = new HashMap<>();
        private long fence;
        private Cancellable pollTimer = Cancellable.NOOP;
        private long lastReportAt = Long.MIN_VALUE;

        private OwnedQueue(Target target, AdmissionQueue queue, Duration admittedLifetime, long fence) {
            this.target = target;
            this.queue = queue;
            this.admittedLifetime = admittedLifetime;
            this.fence = fence;
        }

        private boolean hasLessUrgentWaiting(int urgency) {
            return waiting.values().stream().anyMatch(ticket -> ticket.request.urgency() > urgency);
        }
    }

    /** A request that was offered and has not ended. */
    private static final class Ticket {
        private final RequestKey key;
        private final String requestId;
        private final long id;
        private final AdmissionRequest request;
        private final long expiresAt;
        private final Consumer<AdmissionResponse> listener;
        private Cancellable renewalTimer = Cancellable.NOOP;

        private Ticket(
                RequestKey key,
                String requestId,
                long id,
                AdmissionRequest request,
                long expiresAt,
                Consumer<AdmissionResponse> listener) {
            this.key = key;
            this.requestId = requestId;
            this.id = id;
            this.request = request;
            this.expiresAt = expiresAt;
            this.listener = listener;
        }
    }

    /**
     * Creates an instance without queues.
     *
     * @param ownership the owners of the targets, not null
     * @param registry the targets, not null
     * @param capacity the capacity of targets, not null
     * @param timers runs actions later, not null
     * @param clock the clock, not null
     * @param log receives each decision, not null
     * @param observer observes each decision, not null
     */
    public TargetQueues(
            TargetOwnership ownership,
            TargetRegistry registry,
            Capacity capacity,
            Timers timers,
            MonotonicClock clock,
            DecisionLog log,
            AdmissionObserver observer) {
        this.ownership = Objects.requireNonNull(ownership, "ownership");
        this.registry = Objects.requireNonNull(registry, "registry");
        this.capacity = Objects.requireNonNull(capacity, "capacity");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.log = Objects.requireNonNull(log, "log");
        this.observer = Objects.requireNonNull(observer, "observer");
    }

    /**
     * Offers a request to a target's queue.
     *
     * @param key identifies the request; a request with the same key that is still known has ended, not null
     * @param requestId the id of the caller's request, not null
     * @param targetId the target, not null
     * @param request the request, not null
     * @param listener receives the decisions, the first of them during the call, not null
     * @return false if this entry does not own the target; the listener is not called then
     */
    public boolean offer(
            RequestKey key,
            String requestId,
            TargetId targetId,
            AdmissionRequest request,
            Consumer<AdmissionResponse> listener) {
        Optional<OwnedQueue> found = registry.find(targetId).flatMap(this::ownedQueue);
        if (found.isEmpty()) {
            return false;
        }
        OwnedQueue owned = found.get();
        long now = clock.nanos();
        forget(owned, key, now);
        forgetExpired(owned, now);
        reportLoad(owned, now);
        long expiresAt = now + request.maximumDelay().toNanos() + owned.admittedLifetime.toNanos();
        Ticket ticket = new Ticket(key, requestId, ++lastId, request, expiresAt, listener);
        owned.tickets.put(key, ticket);
        AdmissionDecision decision = owned.queue.offer(ticket.id, request, now);
        if (decision instanceof AdmissionDecision.Queued queued) {
            owned.waiting.put(ticket.id, ticket);
            scheduleRenewal(owned, ticket, queued.expectedDelay());
        } else if (decision instanceof AdmissionDecision.Rejected) {
            owned.tickets.remove(key);
        }
        deliver(owned, ticket, decision, now);
        poll(owned);
        return true;
    }

    private Optional<OwnedQueue> ownedQueue(Target target) {
        OptionalLong fence = ownership.fence(target.id());
        if (fence.isEmpty()) {
            return Optional.empty();
        }
        OwnedQueue current = queues.get(target);
        boolean isFormer = current != null && current.fence != fence.getAsLong() && current.waiting.isEmpty();
        if (current == null || isFormer) {
            AdmissionSettings bounds = capacity.settings().apply(target);
            AdmissionQueue queue =
                    new AdmissionQueue(bounds, () -> capacity.tokensPerMilli().applyAsDouble(target));
            current = new OwnedQueue(target, queue, bounds.admittedLifetime(), fence.getAsLong());
            queues.put(target, current);
        }
        current.fence = fence.getAsLong();
        return Optional.of(current);
    }

    /** Forgets admitted requests whose end was lost. */
    private void forgetExpired(OwnedQueue owned, long now) {
        Iterator<Ticket> oldestFirst = owned.tickets.values().iterator();
        while (oldestFirst.hasNext()) {
            Ticket oldest = oldestFirst.next();
            if (now - oldest.expiresAt < 0) {
                return;
            }
            oldestFirst.remove();
            release(owned, oldest, now);
        }
    }

    private void reportLoad(OwnedQueue owned, long now) {
        Optional<Duration> age = owned.target.reportAge(now);
        if (age.isEmpty() || age.get().compareTo(MAXIMUM_REPORT_AGE) > 0) {
            return;
        }
        long reportedAt = now - age.get().toNanos();
        if (reportedAt != owned.lastReportAt) {
            owned.lastReportAt = reportedAt;
            owned.queue.reportLoad(owned.target.reportedLoad(), now);
        }
    }

    private void scheduleRenewal(OwnedQueue owned, Ticket ticket, Duration expectedDelay) {
        ticket.renewalTimer = timers.schedule(expectedDelay.plus(RENEWAL_MARGIN), () -> {
            ticket.listener.accept(new AdmissionResponse(new AdmissionDecision.Queued(RENEWAL_INTERVAL), false));
            scheduleRenewal(owned, ticket, RENEWAL_INTERVAL);
        });
    }

    private void deliver(OwnedQueue owned, Ticket ticket, AdmissionDecision decision, long now) {
        boolean rejected = decision instanceof AdmissionDecision.Rejected;
        boolean lessUrgentWait = rejected && owned.hasLessUrgentWaiting(ticket.request.urgency());
        AdmissionResult result = AdmissionResult.of(decision);
        observer.onDecision(ticket.request.urgency(), result);
        log.write(
                EventCode.ADMISSION_DECIDED,
                ticket.requestId,
                Field.of("target", owned.target.id().value()),
                Field.of("entry", ticket.key.entry()),
                Field.of("urgency", ticket.request.urgency()),
                Field.of(
                        "account",
                        ticket.request.account().map(AccountId::value).orElse("")),
                Field.of("usage", owned.queue.usage(ticket.request, now)),
                Field.of("queueLength", owned.queue.size()),
                Field.of("result", result));
        ticket.listener.accept(new AdmissionResponse(decision, lessUrgentWait));
    }

    private void poll(OwnedQueue owned) {
        if (queues.get(owned.target) != owned) {
            return;
        }
        long now = clock.nanos();
        boolean isOwner = ownership.fence(owned.target.id()).isPresent();
        for (Outcome outcome : List.copyOf(owned.queue.poll(now))) {
            onOutcome(owned, outcome, isOwner, now);
        }
        owned.pollTimer.cancel();
        OptionalLong next = owned.queue.nextEventAt();
        if (next.isPresent()) {
            Duration delay = Duration.ofNanos(next.getAsLong() - clock.nanos());
            owned.pollTimer = timers.schedule(
                    delay.compareTo(MINIMUM_POLL_DELAY) < 0 ? MINIMUM_POLL_DELAY : delay, () -> poll(owned));
        }
    }

    private void onOutcome(OwnedQueue owned, Outcome outcome, boolean isOwner, long now) {
        Ticket ticket = owned.waiting.remove(outcome.id());
        if (ticket == null) {
            return;
        }
        ticket.renewalTimer.cancel();
        boolean rejected = outcome.decision() instanceof AdmissionDecision.Rejected;
        if (rejected) {
            owned.tickets.remove(ticket.key, ticket);
        }
        if (isOwner || !rejected) {
            deliver(owned, ticket, outcome.decision(), now);
        }
    }

    /**
     * Ends a request, whether it waits or is admitted; ignored if it is not known.
     *
     * @param key identifies the request, not null
     * @param targetId the target that it was offered to, not null
     */
    public void end(RequestKey key, TargetId targetId) {
        registry.find(targetId).map(queues::get).ifPresent(owned -> {
            forget(owned, key, clock.nanos());
            poll(owned);
        });
    }

    private static void forget(OwnedQueue owned, RequestKey key, long now) {
        Ticket ticket = owned.tickets.remove(key);
        if (ticket != null) {
            release(owned, ticket, now);
        }
    }

    /** Releases a request whose admission may have been decided but not yet delivered. */
    private static void release(OwnedQueue owned, Ticket ticket, long now) {
        ticket.renewalTimer.cancel();
        owned.waiting.remove(ticket.id);
        owned.queue.withdraw(ticket.id, now);
        owned.queue.end(ticket.id, now);
    }

    /**
     * Withdraws the waiting requests of an entry whose link has closed, which sends them by its own bound. Its admitted requests may
     * still run.
     *
     * @param entry the entry, not null
     */
    public void onLinkClosed(String entry) {
        long now = clock.nanos();
        for (OwnedQueue owned : List.copyOf(queues.values())) {
            List<Ticket> lost = new ArrayList<>(owned.waiting.values());
            lost.removeIf(ticket -> !ticket.key.entry().equals(entry));
            lost.forEach(ticket -> forget(owned, ticket.key, now));
            if (!lost.isEmpty()) {
                poll(owned);
            }
        }
    }

    /**
     * Counts the requests that wait at all targets of this entry.
     *
     * @return the number
     */
    public int waiting() {
        return queues.values().stream().mapToInt(owned -> owned.waiting.size()).sum();
    }

    @Override
    public void onLeft(Target target) {
        OwnedQueue removed = queues.remove(target);
        if (removed != null) {
            removed.pollTimer.cancel();
            removed.waiting.values().forEach(ticket -> ticket.renewalTimer.cancel());
        }
    }
}
