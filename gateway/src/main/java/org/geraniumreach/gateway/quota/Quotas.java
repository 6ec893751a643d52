package org.geraniumreach.gateway.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.gateway.adapter.Lease;
import org.geraniumreach.gateway.adapter.LeaseTerm;
import org.geraniumreach.gateway.adapter.TargetOwnership;
import org.geraniumreach.gateway.capacity.EntryCapacity;
import org.geraniumreach.gateway.meter.DemandRate;
import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.traffic.Account;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;

/**
 * Admits requests of client accounts from this entry's shares of the accounts' rates.
 *
 * <p>Invariants: an increase of a share takes effect once the store has acknowledged it, a decrease before it is sent. A share is
 * valid for {@link #SHARE_VALIDITY} after the last renewal of this entry's lease, and other entries take it over only after the
 * lease has not changed for {@link #SHARE_TAKEOVER_DELAY}, so no part of a rate is spent twice. After a longer time without a
 * renewal, and after a start, a share is spent only once its row has been read again. Confined to the event loop.
 */
public final class Quotas {

    /** Shares are not spent without a lease renewal for this long; the longest store outage seen took 12 s. */
    static final Duration SHARE_VALIDITY = Duration.ofSeconds(25);

    /** An entry's shares are taken over once its lease has not changed for this long. */
    public static final Duration SHARE_TAKEOVER_DELAY = Duration.ofSeconds(30);

    /** Part of the shortest objective that a request may spend waiting for units; the rest is left to its target. */
    private static final double WAIT_RATIO = 0.4;

    /** The store accepts 100 conditions and writes; a change has one of each, and a condition for each abandoned share. */
    private static final int MAX_CHANGES_PER_TRANSACTION = 20;

    private static final String KEY_PREFIX = "share/";

    private final String self;
    private final Lease lease;
    private final LeaseTerm term;
    private final MonotonicClock clock;
    private final Map<AccountId, AccountState> states = new HashMap<>();
    private final Tolerance tolerance;
    private final DecisionLog log;
    private final ShareHolders shareHolders;
    private EntryCapacity entryCapacity = EntryCapacity.uniform();
    private Map<AccountId, Account> accounts = Map.of();
    private List<Account> limitedAccounts = List.of();
    private int nextAccount;
    private Duration maxWait = Duration.ZERO;

    private static final class AccountState {
        private final AccountBucket bucket;
        private final DemandRate demand;
        private ShareRow row = ShareRow.empty();
        private long version;
        private int parts;

        AccountState(long now) {
            this.bucket = new AccountBucket(now);
            this.demand = new DemandRate(now);
        }
    }

    /**
     * The decision on a request.
     *
     * @param admitted whether the request is within the rate
     * @param delay if admitted, how long the request must wait; if not, after what time it may be retried, empty if unknown
     */
    public record Admission(boolean admitted, Optional<Duration> delay) {}

    /**
     * How far all entries together may exceed an account's rate and burst, since each entry counts separately.
     *
     * @param ratio the permitted excess as a ratio of rate and burst in a window
     * @param units the units permitted in addition to the ratio
     * @param window the length of the window
     */
    public record Tolerance(double ratio, double units, Duration window) {

        /** Part of the tolerance that is added to the entries' buckets; the rest covers restarts and requests in flight. */
        private static final double BUCKET_RATIO = 0.5;

        /** Part of the tolerance by which buckets may be overdrawn, in all entries together. */
        private static final double DEBT_RATIO = 0.25;

        private static final double NANOS_PER_SECOND = 1e9;

        double extraBucketUnits(Account account) {
            return BUCKET_RATIO * totalUnits(account);
        }

        double maxDebtUnits(Account account) {
            return DEBT_RATIO * totalUnits(account);
        }

        private double totalUnits(Account account) {
            double inWindow = account.unitsPerSecond() * window.toNanos() / NANOS_PER_SECOND + account.burstUnits();
            return ratio * inWindow + units;
        }
    }

    /**
     * Creates quotas without accounts.
     *
     * @param self this entry's instance, not null
     * @param lease this entry's lease, not null
     * @param tolerance how far all entries together may exceed a rate, not null
     * @param clock the steady clock, not null
     * @param log receives changes of shares, not null
     */
    public Quotas(String self, Lease lease, Tolerance tolerance, MonotonicClock clock, DecisionLog log) {
        this.self = Objects.requireNonNull(self, "self");
        this.shareHolders = new ShareHolders(self);
        this.lease = Objects.requireNonNull(lease, "lease");
        this.term = lease.trackTerm(() -> lease.wasRenewedWithin(SHARE_VALIDITY));
        this.log = Objects.requireNonNull(log, "log");
        this.tolerance = Objects.requireNonNull(tolerance, "tolerance");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Queries whether a row of {@link TargetOwnership#FLEET_TABLE} holds the shares of an account.
     *
     * @param key the row's key, not null
     * @return true if it does
     */
    public static boolean isShareRow(String key) {
        return key.startsWith(KEY_PREFIX);
    }

    /**
     * Gets the term in which this entry spends its shares.
     *
     * @return the term, not null
     */
    public LeaseTerm term() {
        return term;
    }

    /**
     * Sets the entries' capacities, by which the holders of shares are selected.
     *
     * @param newCapacity the capacities, not null
     */
    public void setEntryCapacity(EntryCapacity newCapacity) {
        entryCapacity = Objects.requireNonNull(newCapacity, "newCapacity");
    }

    /**
     * Sets the accounts and their rates.
     *
     * <p>All requests may wait for units for the same part of the shortest objective. The queue of an account far above its rate
     * is always that long, so a longer wait would only delay each of its requests, and requests that may wait longer than others
     * would take all units.
     *
     * @param newAccounts the accounts, not null
     * @param shortestObjective the shortest latency objective of any route, not null
     */
    public void configure(Map<AccountId, Account> newAccounts, Duration shortestObjective) {
        accounts = Map.copyOf(newAccounts);
        limitedAccounts = accounts.values().stream().filter(Account::isLimited).toList();
        nextAccount = limitedAccounts.isEmpty() ? 0 : nextAccount % limitedAccounts.size();
        maxWait = Duration.ofNanos((long) (shortestObjective.toNanos() * WAIT_RATIO));
        shareHolders.retainAccounts(accounts.keySet());
        accounts.keySet().forEach(this::resize);
    }

    private AccountState state(AccountId account) {
        return states.computeIfAbsent(account, missing -> new AccountState(clock.nanos()));
    }

    private void resize(AccountId id) {
        Account account = accounts.get(id);
        if (account == null) {
            return;
        }
        AccountState state = state(id);
        double part = (double) state.parts / ShareRow.TOTAL_PARTS;
        double capacity = (account.burstUnits() + tolerance.extraBucketUnits(account)) * part;
        double maxDebt = tolerance.maxDebtUnits(account) * part;
        state.bucket.resize(account.unitsPerSecond() * part, capacity, maxDebt, clock.nanos());
    }

    /**
     * Applies a new version of an account's row; an older version than the one known is ignored.
     *
     * @param key the row's key, not null
     * @param row the row, or empty if it was removed, not null
     */
    public void applyRow(String key, Optional<Row> row) {
        AccountId account = AccountId.of(key.substring(KEY_PREFIX.length()));
        AccountState state = state(account);
        if (row.isPresent() && row.get().version() <= state.version) {
            return;
        }
        state.row = row.flatMap(present -> ShareRow.parse(present.value())).orElse(ShareRow.empty());
        state.version = row.map(Row::version).orElse(Transaction.ABSENT_VERSION);
        int previousParts = state.parts;
        state.parts = state.row.share(self).parts();
        resize(account);
        if (previousParts != state.parts) {
            log.write(
                    EventCode.SHARE_CHANGED,
                    account.value(),
                    Field.of("parts", state.parts),
                    Field.of("partsBefore", previousParts),
                    Field.of("free", state.row.freeParts()),
                    Field.of("rowVersion", state.version));
        }
    }

    /**
     * Admits or refuses a request of this entry.
     *
     * @param account the account, not null
     * @param units the units that the request needs
     * @return the decision, not null
     */
    public Admission admit(Account account, double units) {
        if (!account.isLimited()) {
            return new Admission(true, Optional.of(Duration.ZERO));
        }
        AccountState state = state(account.id());
        long now = clock.nanos();
        state.demand.add(units, now);
        if (!lease.wasRenewedWithin(SHARE_VALIDITY) || !term.covers(state.version)) {
            return new Admission(false, Optional.empty());
        }
        AccountBucket.Reservation reservation = state.bucket.reserve(units, now, maxWait);
        return new Admission(reservation.granted(), reservation.delay());
    }

    /**
     * Proposes a transaction that adapts this entry's shares to its demand. Decreases take effect at once. If more shares are to be
     * changed than fit into a transaction, the next one goes on with the others.
     *
     * @param entries the instances of all entries, including this one, not null
     * @param abandoned the entries whose shares may be taken over, with the versions of their leases, not null
     * @return the transaction, or empty if nothing has to be changed, not null
     */
    public Optional<Transaction> proposeTransaction(Collection<String> entries, Map<String, Long> abandoned) {
        shareHolders.setEntries(entries, entryCapacity);
        Transaction transaction = Transaction.empty();
        for (int examined = 0;
                examined < limitedAccounts.size() && transaction.writes().size() < MAX_CHANGES_PER_TRANSACTION;
                examined++) {
            transaction = addChange(transaction, limitedAccounts.get(nextAccount), entries, abandoned);
            nextAccount = (nextAccount + 1) % limitedAccounts.size();
        }
        return transaction.writes().isEmpty() ? Optional.empty() : Optional.of(transaction);
    }

    private Transaction addChange(
            Transaction transaction, Account account, Collection<String> entries, Map<String, Long> abandoned) {
        AccountState state = state(account.id());
        ShareRow row = state.row;
        Transaction conditions = transaction;
        for (Map.Entry<String, Long> holder : abandoned.entrySet()) {
            if (row.shares().containsKey(holder.getKey())) {
                row = row.without(holder.getKey());
                conditions = conditions.withCondition(
                        RowKey.of(TargetOwnership.LEASES_TABLE, holder.getKey()), holder.getValue());
            }
        }
        Optional<ShareRow> change = proposeRow(row, account, state, entries);
        if (change.isEmpty()) {
            return transaction;
        }
        state.parts = Math.min(state.parts, change.get().share(self).parts());
        resize(account.id());
        RowKey key =
                RowKey.of(TargetOwnership.FLEET_TABLE, KEY_PREFIX + account.id().value());
        return conditions
                .withCondition(key, state.version)
                .withWrite(key, change.get().toText());
    }

    private Optional<ShareRow> proposeRow(
            ShareRow row, Account account, AccountState state, Collection<String> entries) {
        if (shareHolders.isHolder(account.id())) {
            double demand = state.demand.rateAt(clock.nanos()) / account.unitsPerSecond();
            return SharePolicy.proposeRow(row, self, holderCount(row, entries), demand);
        }
        return row.shares().containsKey(self) ? Optional.of(row.without(self)) : Optional.empty();
    }

    /** Also counts the holders in the row, since an entry that is cut off from the others sees only itself. */
    private int holderCount(ShareRow row, Collection<String> entries) {
        int others = (int) row.shares().keySet().stream()
                .filter(entry -> !entry.equals(self))
                .count();
        return Math.max(ShareHolders.holderCount(entries.size()), others + 1);
    }

    /**
     * Queries whether this entry has a share of an account's rate.
     *
     * @param account the account, not null
     * @return true if it has a share
     */
    public boolean hasShare(AccountId account) {
        return state(account).parts > 0;
    }

    /**
     * Gets the other entries that have a share of an account's rate.
     *
     * @param account the account, not null
     * @return their instances, not null
     */
    public List<String> otherHolders(AccountId account) {
        List<String> holders = new ArrayList<>();
        state(account).row.shares().forEach((entry, share) -> {
            if (share.parts() > 0 && !entry.equals(self)) {
                holders.add(entry);
            }
        });
        return holders;
    }

    /**
     * Admits or refuses a request of another entry from this entry's share.
     *
     * @param id the account, not null
     * @param units the units that the request needs
     * @return the decision, not null
     */
    public Admission admitForPeer(AccountId id, double units) {
        Account account = accounts.get(id);
        boolean known = account != null && account.isLimited() && Double.isFinite(units) && units >= 0;
        return known && hasShare(id) ? admit(account, units) : new Admission(false, Optional.empty());
    }

    /** Restores the shares that were given up by a transaction that the store has refused. */
    public void onTransactionRefused() {
        states.forEach((account, state) -> {
            state.parts = state.row.share(self).parts();
            resize(account);
        });
    }
}
