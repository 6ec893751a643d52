package org.geraniumreach.gateway.quota;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Consumer;

import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.Timers;
import org.geraniumreach.gateway.traffic.Account;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.MonotonicClock;

/**
 * Admits requests by their accounts' rates: from this entry's share, or from that of another entry that is asked for units.
 *
 * <p>Invariants: units are taken at one holder for each admitted request; units whose grant is lost or comes too late are spent for nothing,
 * never twice. A holder that has refused is not asked again before it said that it has units. Confined to the event loop.
 */
public final class QuotaAdmission {

    /** Holders asked for one request; beyond, the account is taken to be above its rate. */
    private static final int MAX_HOLDERS_ASKED = 2;

    /** An answer takes a few milliseconds; a holder that is stopped or cut off never answers. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(150);

    /** Shares move, so a refusal is not believed for longer. */
    private static final Duration MAX_REFUSAL_VALIDITY = Duration.ofMillis(500);

    private static final int REFUSAL_PURGE_THRESHOLD = 4_096;

    /** For so long after its creation, links to holders may still be on their way. */
    private static final Duration STARTUP_PERIOD = Duration.ofSeconds(4);

    /** How long a request waits for a holder that can be reached and answers, in that time; callers leave a silent stream after two seconds. */
    private static final Duration MAX_HOLDER_WAIT = Duration.ofMillis(1_500);

    /** Part of the caller's time for which it waits at the most. */
    private static final double HOLDER_WAIT_RATIO = 0.6;

    private static final Duration HOLDER_RETRY_INTERVAL = Duration.ofMillis(60);

    private final Quotas quotas;
    private final QuotaPeers peers;
    private final Timers timers;
    private final MonotonicClock clock;
    private final Random random;
    private final Map<Long, PendingRequest> pending = new HashMap<>();
    private final Map<HolderKey, Refusal> refusals = new HashMap<>();
    private final long createdAt;
    private long lastRequestNumber;

    private record HolderKey(String entry, AccountId account) {}

    /**
     * A holder's refusal.
     *
     * @param validUntil until when it is not asked again
     * @param retryAt when it said that it has units, empty if it did not say
     * @param timedOut whether it did not answer at all
     */
    private record Refusal(long validUntil, OptionalLong retryAt, boolean timedOut) {}

    /** A request whose units are asked for. */
    private final class PendingRequest {
        private final Account account;
        private final double units;
        private final Duration maxWait;
        private final Consumer<Quotas.Admission> onDecision;
        private final long startedAt = clock.nanos();
        private Deque<String> candidates;
        private Optional<Duration> retryDelay;
        private Cancellable timeout = Cancellable.NOTHING;
        private long number;
        private String askedHolder = "";
        private int askedCount;
        private boolean answered;

        private PendingRequest(
                Account account,
                double units,
                Duration longestWait,
                Consumer<Quotas.Admission> decided,
                Deque<String> holders,
                Optional<Duration> comeBack) {
            this.account = account;
            this.units = units;
            this.maxWait = longestWait;
            this.onDecision = decided;
            this.candidates = holders;
            this.retryDelay = comeBack;
        }

        private void askNext() {
            while (askedCount < MAX_HOLDERS_ASKED && !candidates.isEmpty()) {
                askedHolder = candidates.poll();
                number = ++lastRequestNumber;
                if (peers.ask(askedHolder, number, account.id(), units)) {
                    askedCount++;
                    pending.put(number, this);
                    timeout = timers.after(ANSWER_TIMEOUT, this::onTimeout);
                    return;
                }
            }
            if (mayWaitForHolder()) {
                timeout = timers.after(HOLDER_RETRY_INTERVAL, this::retry);
                return;
            }
            onDecision.accept(new Quotas.Admission(false, retryDelay));
        }

        /** Guards against refusals within the rate by an entry that has started, whose holders have started with it. */
        private boolean mayWaitForHolder() {
            long now = clock.nanos();
            return !answered
                    && now - createdAt < STARTUP_PERIOD.toNanos()
                    && now - startedAt < maxWait.toNanos()
                    && hasHolderWithoutRefusal(account.id());
        }

        private void retry() {
            askedCount = 0;
            candidates = candidates(account.id());
            askNext();
        }

        private void onTimeout() {
            pending.remove(number);
            recordTimeout(askedHolder, account.id());
            askNext();
        }

        private void onAnswer(Quotas.Admission answer) {
            timeout.cancel();
            answered = true;
            if (answer.admitted()) {
                onDecision.accept(answer);
                return;
            }
            recordRefusal(askedHolder, account.id(), answer.delay());
            retryDelay = shorter(retryDelay, answer.delay());
            askNext();
        }

        private void cancel() {
            timeout.cancel();
            pending.remove(number);
        }
    }

    /**
     * Creates an admission.
     *
     * @param quotas this entry's shares, not null
     * @param peers reaches the other holders, not null
     * @param timers runs actions later, not null
     * @param clock the clock, not null
     * @param random orders the holders, not null
     */
    public QuotaAdmission(Quotas quotas, QuotaPeers peers, Timers timers, MonotonicClock clock, Random random) {
        this.quotas = Objects.requireNonNull(quotas, "quotas");
        this.peers = Objects.requireNonNull(peers, "peers");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.random = Objects.requireNonNull(random, "random");
        this.createdAt = clock.nanos();
    }

    /**
     * Takes a request's units.
     *
     * @param account the account, not null
     * @param units the units
     * @param patience how long the request may take, not null
     * @param decided told whether the request is admitted, at once if nobody need be asked, not null
     * @return calls it off, not null
     */
    public Cancellable admit(Account account, double units, Duration patience, Consumer<Quotas.Admission> decided) {
        Optional<Duration> comeBack = Optional.empty();
        if (!account.isLimited() || quotas.hasShare(account.id())) {
            Quotas.Admission own = quotas.admit(account, units);
            if (own.admitted()) {
                decided.accept(own);
                return Cancellable.NOTHING;
            }
            comeBack = own.delay();
        }
        Optional<Duration> soonest = soonestRetryDelay(account.id(), comeBack);
        PendingRequest request =
                new PendingRequest(account, units, maxWait(patience), decided, candidates(account.id()), soonest);
        request.askNext();
        return request::cancel;
    }

    private static Duration maxWait(Duration patience) {
        Duration part = Duration.ofNanos((long) (patience.toNanos() * HOLDER_WAIT_RATIO));
        return part.compareTo(MAX_HOLDER_WAIT) < 0 ? part : MAX_HOLDER_WAIT;
    }

    private boolean hasHolderWithoutRefusal(AccountId account) {
        return quotas.otherHolders(account).stream()
                .anyMatch(
                        entry -> refusal(entry, account).map(Refusal::timedOut).orElse(true));
    }

    private Deque<String> candidates(AccountId account) {
        List<String> holders = new ArrayList<>(quotas.otherHolders(account));
        holders.removeIf(entry -> refusal(entry, account).isPresent());
        Collections.shuffle(holders, random);
        return new ArrayDeque<>(holders);
    }

    private Optional<Refusal> refusal(String entry, AccountId account) {
        return Optional.ofNullable(refusals.get(new HolderKey(entry, account)))
                .filter(refused -> refused.validUntil() > clock.nanos());
    }

    /** Holders that are not asked because they have refused said when they have units. */
    private Optional<Duration> soonestRetryDelay(AccountId account, Optional<Duration> own) {
        long now = clock.nanos();
        Optional<Duration> soonest = own;
        for (String entry : quotas.otherHolders(account)) {
            OptionalLong at = refusal(entry, account).map(Refusal::retryAt).orElse(OptionalLong.empty());
            if (at.isPresent()) {
                soonest = shorter(soonest, Optional.of(Duration.ofNanos(Math.max(0, at.getAsLong() - now))));
            }
        }
        return soonest;
    }

    /** In the first seconds, holders that start as well answer soon. */
    private void recordTimeout(String entry, AccountId account) {
        long now = clock.nanos();
        Duration believed = now - createdAt < STARTUP_PERIOD.toNanos() ? HOLDER_RETRY_INTERVAL : MAX_REFUSAL_VALIDITY;
        storeRefusal(entry, account, new Refusal(now + believed.toNanos(), OptionalLong.empty(), true));
    }

    private void storeRefusal(String entry, AccountId account, Refusal refused) {
        long now = clock.nanos();
        if (refusals.size() > REFUSAL_PURGE_THRESHOLD) {
            refusals.values().removeIf(each -> each.validUntil() <= now);
        }
        refusals.put(new HolderKey(entry, account), refused);
    }

    private void recordRefusal(String entry, AccountId account, Optional<Duration> delay) {
        long now = clock.nanos();
        Duration believed =
                delay.filter(told -> told.compareTo(MAX_REFUSAL_VALIDITY) < 0).orElse(MAX_REFUSAL_VALIDITY);
        OptionalLong comeBackAt =
                delay.isPresent() ? OptionalLong.of(now + delay.get().toNanos()) : OptionalLong.empty();
        storeRefusal(entry, account, new Refusal(now + believed.toNanos(), comeBackAt, false));
    }

    private static Optional<Duration> shorter(Optional<Duration> one, Optional<Duration> other) {
        if (one.isEmpty() || other.isEmpty()) {
            return one.isPresent() ? one : other;
        }
        return one.get().compareTo(other.get()) <= 0 ? one : other;
    }

    /**
     * Takes another entry's answer.
     *
     * @param number the request's number
     * @param answer the answer, not null
     */
    public void onAnswer(long number, Quotas.Admission answer) {
        PendingRequest request = pending.remove(number);
        if (request != null) {
            request.onAnswer(answer);
        }
    }
}
