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
    private static final int MOST_ASKED = 2;

    /** An answer takes a few milliseconds; a holder that is stopped or cut off never answers. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(150);

    /** Shares move, so a refusal is not believed for longer. */
    private static final Duration LONGEST_REFUSAL = Duration.ofMillis(500);

    private static final int MOST_REFUSALS = 4_096;

    /** For so long after its creation, links to holders may still be on their way. */
    private static final Duration STARTUP = Duration.ofSeconds(4);

    /** How long a request waits for a holder that can be reached and answers, in that time; callers leave a silent stream after two seconds. */
    private static final Duration LONGEST_HOLDER_WAIT = Duration.ofMillis(1_500);

    /** Part of the caller's time for which it waits at the most. */
    private static final double HOLDER_WAIT_PART = 0.6;

    private static final Duration HOLDER_RETRY_INTERVAL = Duration.ofMillis(60);

    private final Quotas quotas;
    private final QuotaPeers peers;
    private final Timers timers;
    private final MonotonicClock clock;
    private final Random random;
    private final Map<Long, Pending> pending = new HashMap<>();
    private final Map<Holder, Refused> refusals = new HashMap<>();
    private final long createdAt;
    private long numbers;

    private record Holder(String entry, AccountId account) {}

    /**
     * A holder's refusal.
     *
     * @param until until when it is not asked again
     * @param comeBackAt when it said that it has units, empty if it did not say
     * @param silent whether it did not answer at all
     */
    private record Refused(long until, OptionalLong comeBackAt, boolean silent) {}

    /** A request whose units are asked for. */
    private final class Pending {
        private final Account account;
        private final double units;
        private final Duration longestWait;
        private final Consumer<Quotas.Admission> decided;
        private final long startedAt = clock.nanos();
        private Deque<String> holders;
        private Optional<Duration> comeBack;
        private Cancellable timeout = Cancellable.NOTHING;
        private long number;
        private String asked = "";
        private int count;
        private boolean answered;

        private Pending(
                Account account,
                double units,
                Duration longestWait,
                Consumer<Quotas.Admission> decided,
                Deque<String> holders,
                Optional<Duration> comeBack) {
            this.account = account;
            this.units = units;
            this.longestWait = longestWait;
            this.decided = decided;
            this.holders = holders;
            this.comeBack = comeBack;
        }

        private void askNext() {
            while (count < MOST_ASKED && !holders.isEmpty()) {
                asked = holders.poll();
                number = ++numbers;
                if (peers.ask(asked, number, account.id(), units)) {
                    count++;
                    pending.put(number, this);
                    timeout = timers.after(ANSWER_TIMEOUT, this::onTimeout);
                    return;
                }
            }
            if (mayGetHolder()) {
                timeout = timers.after(HOLDER_RETRY_INTERVAL, this::askAgain);
                return;
            }
            decided.accept(new Quotas.Admission(false, comeBack));
        }

        /** Guards against refusals within the rate by an entry that has started, whose holders have started with it. */
        private boolean mayGetHolder() {
            long now = clock.nanos();
            return !answered
                    && now - createdAt < STARTUP.toNanos()
                    && now - startedAt < longestWait.toNanos()
                    && hasHolderThatHasNotRefused(account.id());
        }

        private void askAgain() {
            count = 0;
            holders = holders(account.id());
            askNext();
        }

        private void onTimeout() {
            pending.remove(number);
            noteSilence(asked, account.id());
            askNext();
        }

        private void onAnswer(Quotas.Admission answer) {
            timeout.cancel();
            answered = true;
            if (answer.admitted()) {
                decided.accept(answer);
                return;
            }
            refuse(asked, account.id(), answer.delay());
            comeBack = sooner(comeBack, answer.delay());
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
        Optional<Duration> soonest = comeBack(account.id(), comeBack);
        Pending request = new Pending(account, units, longestWait(patience), decided, holders(account.id()), soonest);
        request.askNext();
        return request::cancel;
    }

    private static Duration longestWait(Duration patience) {
        Duration part = Duration.ofNanos((long) (patience.toNanos() * HOLDER_WAIT_PART));
        return part.compareTo(LONGEST_HOLDER_WAIT) < 0 ? part : LONGEST_HOLDER_WAIT;
    }

    private boolean hasHolderThatHasNotRefused(AccountId account) {
        return quotas.otherHolders(account).stream()
                .anyMatch(entry -> refusal(entry, account).map(Refused::silent).orElse(true));
    }

    private Deque<String> holders(AccountId account) {
        List<String> holders = new ArrayList<>(quotas.otherHolders(account));
        holders.removeIf(entry -> refusal(entry, account).isPresent());
        Collections.shuffle(holders, random);
        return new ArrayDeque<>(holders);
    }

    private Optional<Refused> refusal(String entry, AccountId account) {
        return Optional.ofNullable(refusals.get(new Holder(entry, account)))
                .filter(refused -> refused.until() > clock.nanos());
    }

    /** Holders that are not asked because they have refused said when they have units. */
    private Optional<Duration> comeBack(AccountId account, Optional<Duration> own) {
        long now = clock.nanos();
        Optional<Duration> soonest = own;
        for (String entry : quotas.otherHolders(account)) {
            OptionalLong at = refusal(entry, account).map(Refused::comeBackAt).orElse(OptionalLong.empty());
            if (at.isPresent()) {
                soonest = sooner(soonest, Optional.of(Duration.ofNanos(Math.max(0, at.getAsLong() - now))));
            }
        }
        return soonest;
    }

    /** In the first seconds, holders that start as well answer soon. */
    private void noteSilence(String entry, AccountId account) {
        long now = clock.nanos();
        Duration believed = now - createdAt < STARTUP.toNanos() ? HOLDER_RETRY_INTERVAL : LONGEST_REFUSAL;
        note(entry, account, new Refused(now + believed.toNanos(), OptionalLong.empty(), true));
    }

    private void note(String entry, AccountId account, Refused refused) {
        long now = clock.nanos();
        if (refusals.size() > MOST_REFUSALS) {
            refusals.values().removeIf(each -> each.until() <= now);
        }
        refusals.put(new Holder(entry, account), refused);
    }

    private void refuse(String entry, AccountId account, Optional<Duration> delay) {
        long now = clock.nanos();
        Duration believed =
                delay.filter(told -> told.compareTo(LONGEST_REFUSAL) < 0).orElse(LONGEST_REFUSAL);
        OptionalLong comeBackAt =
                delay.isPresent() ? OptionalLong.of(now + delay.get().toNanos()) : OptionalLong.empty();
        note(entry, account, new Refused(now + believed.toNanos(), comeBackAt, false));
    }

    private static Optional<Duration> sooner(Optional<Duration> one, Optional<Duration> other) {
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
        Pending request = pending.remove(number);
        if (request != null) {
            request.onAnswer(answer);
        }
    }
}
