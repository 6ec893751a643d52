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
 * Admits requests within their accounts' rates, from this entry's share or from the share of another entry (a holder).
 *
 * <p>Invariants: the units of an admitted request are taken from one holder; units whose grant is lost or arrives too late are
 * wasted, never spent twice. A holder that has refused is not asked again while its refusal is remembered, which
 * ends at the latest when it expects to have units. A request is not refused while it is unknown whether its account is above
 * its rate, for at most {@link #MAX_HOLDER_WAIT}. Confined to the event loop.
 */
public final class QuotaAdmission {

    /** Holders asked for one request. If none of them admits it, the account is taken to be above its rate. */
    private static final int MAX_HOLDERS_ASKED = 2;

    /** Time after which another holder is asked too; the answer of the first one still counts. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(150);

    /** Shares move between entries, so a refusal does not count for longer. */
    private static final Duration MAX_REFUSAL_VALIDITY = Duration.ofMillis(500);

    /** Expired refusals are removed once more than this number is remembered. */
    private static final int REFUSAL_PURGE_THRESHOLD = 4_096;

    /** For this long after the start, links to holders may still be missing. */
    private static final Duration STARTUP_PERIOD = Duration.ofSeconds(4);

    /** How long a request waits for a holder that answers; callers abandon a silent stream after two seconds. */
    private static final Duration MAX_HOLDER_WAIT = Duration.ofMillis(1_500);

    /** Part of a request's timeout that may be spent waiting for a holder. */
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
     * A refusal by a holder, or its failure to answer.
     *
     * @param validUntil the time until which the holder is not asked again
     * @param retryAt the time at which the holder expects to have units, empty if unknown
     * @param timedOut whether the holder did not answer
     */
    private record Refusal(long validUntil, OptionalLong retryAt, boolean timedOut) {}

    /** A request that waits for units from another entry. */
    private final class PendingRequest {
        private final Account account;
        private final double units;
        private final Duration maxWait;
        private final Consumer<Quotas.Admission> onDecision;
        private final long startedAt = clock.nanos();
        private final Map<Long, String> unanswered = new HashMap<>();
        private Deque<String> candidates = new ArrayDeque<>();
        private Optional<Duration> retryDelay = Optional.empty();
        private Cancellable timeout = Cancellable.NOOP;
        private int askedCount;
        private OptionalLong awaitedNumber = OptionalLong.empty();
        private boolean ownShareAsked;
        private boolean answered;

        private PendingRequest(Account account, double units, Duration maxWait, Consumer<Quotas.Admission> onDecision) {
            this.account = account;
            this.units = units;
            this.maxWait = maxWait;
            this.onDecision = onDecision;
        }

        private void askNext() {
            while (askedCount < MAX_HOLDERS_ASKED && !candidates.isEmpty()) {
                String holder = candidates.poll();
                long number = ++lastRequestNumber;
                if (peers.requestUnits(holder, number, account.id(), units)) {
                    askedCount++;
                    awaitedNumber = OptionalLong.of(number);
                    unanswered.put(number, holder);
                    pending.put(number, this);
                    timeout = timers.schedule(ANSWER_TIMEOUT, () -> onTimeout(holder));
                    return;
                }
            }
            if (mayWaitForHolder()) {
                timeout = timers.schedule(HOLDER_RETRY_INTERVAL, this::retry);
                return;
            }
            decide(new Quotas.Admission(false, retryDelay));
        }

        private boolean mayWaitForHolder() {
            long now = clock.nanos();
            return !answered && now - startedAt < maxWait.toNanos() && mayHolderAnswer();
        }

        /** Prevents refusals within the rate while holders are starting or silent, and before a new account's rate is divided. */
        private boolean mayHolderAnswer() {
            if (isStartup()) {
                return hasHolderWithoutRefusal(account.id());
            }
            if (quotas.hasShare(account.id())) {
                return false;
            }
            return !unanswered.isEmpty()
                    || quotas.otherHolders(account.id()).isEmpty()
                    || hasSilentHolder(account.id());
        }

        private void start() {
            if (!admitsFromOwnShare()) {
                candidates = candidates(account.id());
                retryDelay = soonestRetryDelay(account.id(), retryDelay);
                askNext();
            }
        }

        private boolean admitsFromOwnShare() {
            boolean decidesAlone = !account.isLimited() || quotas.hasShare(account.id());
            if (ownShareAsked || !decidesAlone) {
                return false;
            }
            ownShareAsked = true;
            Quotas.Admission own = quotas.admit(account, units);
            retryDelay = own.delay();
            if (own.admitted()) {
                decide(own);
            }
            return own.admitted();
        }

        private void retry() {
            if (admitsFromOwnShare()) {
                return;
            }
            askedCount = 0;
            candidates = candidates(account.id());
            if (!isStartup()) {
                // The holder grants all that it was asked for once it goes on.
                candidates.removeAll(unanswered.values());
            }
            askNext();
        }

        private void onTimeout(String holder) {
            awaitedNumber = OptionalLong.empty();
            recordTimeout(holder, account.id());
            askNext();
        }

        private void onAnswer(long number, Quotas.Admission answer) {
            answered = true;
            String holder = unanswered.remove(number);
            removeTimeout(holder, account.id());
            if (answer.admitted()) {
                decide(answer);
                return;
            }
            recordRefusal(holder, account.id(), answer.delay());
            retryDelay = shorter(retryDelay, answer.delay());
            boolean awaitsAnother = awaitedNumber.isPresent() && awaitedNumber.getAsLong() != number;
            if (!awaitsAnother) {
                timeout.cancel();
                awaitedNumber = OptionalLong.empty();
                askNext();
            }
        }

        private void decide(Quotas.Admission decision) {
            cancel();
            onDecision.accept(decision);
        }

        private void cancel() {
            timeout.cancel();
            pending.keySet().removeAll(unanswered.keySet());
        }
    }

    /**
     * Creates an instance.
     *
     * @param quotas this entry's shares, not null
     * @param peers sends requests for units to other holders, not null
     * @param timers schedules timeouts and retries, not null
     * @param clock the steady clock, not null
     * @param random shuffles the holders, not null
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
     * Admits or refuses a request.
     *
     * @param account the account, not null
     * @param units the units that the request needs
     * @param requestTimeout how long the request may take, not null
     * @param onDecision receives the decision, before this method returns if no holder has to be asked, not null
     * @return cancels the admission, not null
     */
    public Cancellable admit(
            Account account, double units, Duration requestTimeout, Consumer<Quotas.Admission> onDecision) {
        PendingRequest request = new PendingRequest(account, units, maxWait(requestTimeout), onDecision);
        request.start();
        return request::cancel;
    }

    private boolean isStartup() {
        return clock.nanos() - createdAt < STARTUP_PERIOD.toNanos();
    }

    private static Duration maxWait(Duration requestTimeout) {
        Duration part = Duration.ofNanos((long) (requestTimeout.toNanos() * HOLDER_WAIT_RATIO));
        return part.compareTo(MAX_HOLDER_WAIT) < 0 ? part : MAX_HOLDER_WAIT;
    }

    private boolean hasHolderWithoutRefusal(AccountId account) {
        return quotas.otherHolders(account).stream()
                .anyMatch(
                        entry -> refusal(entry, account).map(Refusal::timedOut).orElse(true));
    }

    private boolean hasSilentHolder(AccountId account) {
        return quotas.otherHolders(account).stream()
                .anyMatch(entry ->
                        refusal(entry, account).filter(Refusal::timedOut).isPresent());
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

    /** Takes into account holders that are not asked because of an earlier refusal. */
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

    /** During startup a holder that timed out is soon asked again, since it may be starting too. */
    private void recordTimeout(String entry, AccountId account) {
        long now = clock.nanos();
        Duration validity = isStartup() ? HOLDER_RETRY_INTERVAL : MAX_REFUSAL_VALIDITY;
        storeRefusal(entry, account, new Refusal(now + validity.toNanos(), OptionalLong.empty(), true));
    }

    private void removeTimeout(String entry, AccountId account) {
        refusals.computeIfPresent(new HolderKey(entry, account), (key, refused) -> refused.timedOut() ? null : refused);
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
        Duration validity = delay.filter(delayUntilUnits -> delayUntilUnits.compareTo(MAX_REFUSAL_VALIDITY) < 0)
                .orElse(MAX_REFUSAL_VALIDITY);
        OptionalLong retryAt =
                delay.isPresent() ? OptionalLong.of(now + delay.get().toNanos()) : OptionalLong.empty();
        storeRefusal(entry, account, new Refusal(now + validity.toNanos(), retryAt, false));
    }

    private static Optional<Duration> shorter(Optional<Duration> one, Optional<Duration> other) {
        if (one.isEmpty() || other.isEmpty()) {
            return one.isPresent() ? one : other;
        }
        return one.get().compareTo(other.get()) <= 0 ? one : other;
    }

    /**
     * Handles another entry's answer; an answer to a request that is not pending is ignored.
     *
     * @param number the number under which the units were requested
     * @param answer the answer, not null
     */
    public void onAnswer(long number, Quotas.Admission answer) {
        PendingRequest request = pending.remove(number);
        if (request != null) {
            request.onAnswer(number, answer);
        }
    }
}
