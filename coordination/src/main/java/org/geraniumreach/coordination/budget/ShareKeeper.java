package org.geraniumreach.coordination.budget;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.geraniumreach.coordination.budget.HolderId.ListedHolder;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;

/**
 * Keeps this entry's row of shares in the table service.
 *
 * <p>Invariants: {@link #usableParts} is never more than the row holds for certain. A commit that gives parts away counts from
 * before it is sent; if its answer is lost it counts until a later commit on the same row has succeeded or the row's version
 * has moved on, for until then it may yet take effect, and a reading that shows the old row proves nothing. Parts that come
 * count only once they were read or their commit was confirmed.
 *
 * <p>One call of the table service is made at a time: {@link #next} gives it, and one of {@link #read}, {@link #scanned},
 * {@link #committed} and {@link #failed} answers it. Safe for use by several threads; the state is under this object's lock.
 */
public final class ShareKeeper {

    private static final int SCAN_ROW_LIMIT = 1000;
    private static final int SCANNER_COUNT = 3;
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    private final HolderId self;
    private final BudgetPolicy policy;
    private final HoldingProof leaseValidity;
    private final MonotonicClock clock;
    private final Withdrawal withdrawal;
    private final DepartedHolderDetector departedHolders;
    private final long startedAt;
    private final Deque<ShareTransfer> transfers = new ArrayDeque<>();
    private int generation;
    private Optional<KnownRow> knownRow = Optional.empty();
    /** What the row holds if a commit with a lost answer has taken effect. */
    private Optional<ShareSet> sharesIfCommitApplied = Optional.empty();

    private Optional<PendingCall> pendingCall = Optional.empty();
    /** The commit that follows the reading of its other row. */
    private Optional<PendingCall> preparedCommit = Optional.empty();

    private boolean mustReadRow;
    private long renewedAt;
    private long retryAt = Long.MIN_VALUE;
    private long nextScanAt;
    private boolean scanAccountsNext;
    private Set<AccountId> accounts = Set.of();
    private Set<AccountId> firstIssued = new HashSet<>();
    private Set<RowKey> handoverRecipients = new HashSet<>();
    private boolean isScanner = true;
    private long releaseAt = Long.MAX_VALUE;

    /** Takes parts away from the account's budget before a commit that gives them away; returns those taken. */
    @FunctionalInterface
    public interface Withdrawal {

        /**
         * Takes parts away.
         *
         * @param account the client account, not null
         * @param parts the parts wanted
         * @return the parts taken, which are spent no more
         */
        long withdraw(AccountId account, long parts);
    }

    /** What the row is known to hold. */
    private record KnownRow(long version, long renewals, ShareSet shares) {}

    /** The call under way. */
    private record PendingCall(
            StoreCall call, long sentAt, Optional<ShareTransfer> transfer, Optional<ShareTransfer.Plan> plan) {

        private PendingCall withSentAt(long now) {
            return new PendingCall(call, now, transfer, plan);
        }
    }

    /**
     * Makes a keeper that holds nothing.
     *
     * @param self this entry, not null
     * @param policy times, not null
     * @param proof told of what proves that the shares are held, not null
     * @param clock the source of elapsed time, not null
     * @param withdrawal takes parts away before they are given, not null
     */
    public ShareKeeper(
            HolderId self, BudgetPolicy policy, HoldingProof proof, MonotonicClock clock, Withdrawal withdrawal) {
        this.self = Objects.requireNonNull(self, "self");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.leaseValidity = Objects.requireNonNull(proof, "proof");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.withdrawal = Objects.requireNonNull(withdrawal, "withdrawal");
        this.startedAt = clock.nanos();
        this.renewedAt = startedAt;
        this.nextScanAt = startedAt;
        long loanEndAt = startedAt + policy.lenderNanos(policy.loanDuration());
        this.departedHolders =
                new DepartedHolderDetector(self, policy.quarantine().toNanos(), loanEndAt);
    }

    /**
     * Gets the parts of an account that this entry holds for certain, whether or not the proof holds now.
     *
     * @param account the account, not null
     * @return the parts
     */
    public synchronized long usableParts(AccountId account) {
        long parts = currentShares().parts(account);
        if (sharesIfCommitApplied.isPresent()) {
            parts = Math.min(parts, sharesIfCommitApplied.get().parts(account));
        }
        // What a commit under way gives away counts as given: the other entry may have it before the answer is here.
        for (Optional<PendingCall> underWay : List.of(pendingCall, preparedCommit)) {
            Optional<ShareSet> after = underWay.flatMap(PendingCall::plan).map(ShareTransfer.Plan::sharesAfter);
            parts = Math.min(parts, after.map(shares -> shares.parts(account)).orElse(parts));
        }
        return parts;
    }

    /**
     * Gets the accounts whose parts this entry was the first ever to hold, once.
     *
     * @return the accounts, not null
     */
    public synchronized Set<AccountId> takeFirstIssued() {
        Set<AccountId> taken = firstIssued;
        firstIssued = new HashSet<>();
        return taken;
    }

    /**
     * Gets the rows to which parts were handed over, once; their holders may be told to read them.
     *
     * @return the rows, not null
     */
    public synchronized Set<RowKey> takeHandedOverTo() {
        Set<RowKey> taken = handoverRecipients;
        handoverRecipients = new HashSet<>();
        return taken;
    }

    /**
     * Gets this entry's row.
     *
     * @return the row's place, empty if there is none
     */
    public synchronized Optional<RowKey> rowKey() {
        return knownRow.map(found -> ownKey());
    }

    /**
     * Sets the accounts that exist.
     *
     * @param newAccounts the accounts, not null
     */
    public synchronized void setAccounts(Set<AccountId> newAccounts) {
        if (!accounts.containsAll(newAccounts)) {
            nextScanAt = clock.nanos();
            scanAccountsNext = true;
        }
        accounts = Set.copyOf(newAccounts);
    }

    /**
     * Takes a reading of the instance list.
     *
     * @param listed the entries listed, not null
     * @param askedAt the time before the list was asked for
     */
    public synchronized void onHoldersListed(Set<ListedHolder> listed, long askedAt) {
        long now = clock.nanos();
        if (listed.contains(self.toListedHolder())) {
            leaseValidity.onListed(askedAt, now);
        }
        departedHolders.onHoldersListed(listed, askedAt, now);
        // With hundreds of entries, all of them reading all rows would take a good part of the platform's reads.
        isScanner = listed.stream()
                        .filter(other -> scannerRank(other) < scannerRank(self.toListedHolder()))
                        .count()
                < SCANNER_COUNT;
    }

    private static int scannerRank(ListedHolder holder) {
        return holder.instance().value().hashCode() * 0x9E3779B1;
    }

    /**
     * Asks for the free parts of an account that has callers here and no share.
     *
     * @param account the account, not null
     */
    public synchronized void claim(AccountId account) {
        if (accounts.contains(account)) {
            enqueue(ShareTransfer.claim(account));
        }
    }

    /**
     * Asks for parts to be handed over.
     *
     * @param handover what and to whom, not null
     */
    public synchronized void handOver(BudgetAction.HandOver handover) {
        if (!handover.recipientRow().equals(ownKey())) {
            enqueue(ShareTransfer.handover(handover.account(), handover.recipientRow(), handover.parts()));
        }
    }

    private void enqueue(ShareTransfer transfer) {
        boolean queued = transfers.stream().anyMatch(other -> other.other().equals(transfer.other()));
        if (!queued && releaseAt == Long.MAX_VALUE) {
            transfers.add(transfer);
        }
    }

    /** Tells that another entry may have written this entry's row. */
    public synchronized void refresh() {
        mustReadRow = knownRow.isPresent();
    }

    /**
     * Begins to give all shares back, after the accounts' budgets have been released.
     *
     * @param loansEndAt the time when every loan given is over
     */
    public synchronized void release(long loansEndAt) {
        transfers.clear();
        releaseAt = loansEndAt;
    }

    /**
     * Queries whether all shares were given back.
     *
     * @return true if so
     */
    public synchronized boolean isReleased() {
        return releaseAt != Long.MAX_VALUE && knownRow.isEmpty() && pendingCall.isEmpty();
    }

    /**
     * Gets the next call of the table service.
     *
     * @return the call, empty if none is due or one is under way
     */
    public synchronized Optional<StoreCall> next() {
        long now = clock.nanos();
        if (pendingCall.isPresent() || now < retryAt) {
            return Optional.empty();
        }
        pendingCall =
                preparedCommit.isPresent() ? preparedCommit.map(commit -> commit.withSentAt(now)) : chooseCall(now);
        preparedCommit = Optional.empty();
        return pendingCall.map(PendingCall::call);
    }

    private Optional<PendingCall> chooseCall(long now) {
        if (mustReadRow) {
            return simpleCall(new StoreCall.Read(ownKey()), now);
        }
        if (releaseAt != Long.MAX_VALUE) {
            return knownRow.isEmpty() ? Optional.empty() : chooseRelease(now);
        }
        if (knownRow.isEmpty() || now - renewedAt >= policy.leaseRenewal().toNanos()) {
            return commit(Transaction.empty(), currentShares(), Optional.empty(), Optional.empty(), now);
        }
        Optional<PendingCall> transfer = chooseTransfer(now);
        return transfer.isPresent() ? transfer : chooseScan(now);
    }

    private Optional<PendingCall> chooseRelease(long now) {
        ShareSet left = currentShares();
        if (now < releaseAt) {
            return Optional.empty();
        }
        if (left.isEmpty()) {
            Transaction delete = Transaction.empty()
                    .withCondition(ownKey(), knownRow.orElseThrow().version())
                    .withDelete(ownKey());
            return simpleCall(new StoreCall.Commit(delete), now);
        }
        ShareTransfer transfer =
                ShareTransfer.giveBack(left.accounts().iterator().next());
        return Optional.of(
                new PendingCall(new StoreCall.Read(transfer.other()), now, Optional.of(transfer), Optional.empty()));
    }

    private Optional<PendingCall> chooseTransfer(long now) {
        if (transfers.isEmpty()) {
            departedHolders.departedRows(now).stream()
                    .filter(row -> !row.key().equals(ownKey()))
                    .findFirst()
                    .ifPresent(row -> transfers.add(ShareTransfer.takeover(row.key())));
        }
        ShareTransfer transfer = transfers.poll();
        if (transfer == null) {
            return Optional.empty();
        }
        return Optional.of(
                new PendingCall(new StoreCall.Read(transfer.other()), now, Optional.of(transfer), Optional.empty()));
    }

    private Optional<PendingCall> chooseScan(long now) {
        boolean young = now - startedAt < policy.quarantine().toNanos();
        if (now < nextScanAt || !isScanner && !young) {
            return Optional.empty();
        }
        nextScanAt = now + policy.scanInterval().toNanos();
        scanAccountsNext = !scanAccountsNext;
        String table = scanAccountsNext ? HolderRow.TABLE : AccountRow.TABLE;
        return simpleCall(new StoreCall.Scan(table, "", SCAN_ROW_LIMIT), now);
    }

    private static Optional<PendingCall> simpleCall(StoreCall call, long now) {
        return Optional.of(new PendingCall(call, now, Optional.empty(), Optional.empty()));
    }

    /** Makes a commit that writes this entry's row, which renews the lease whatever else it does. */
    private Optional<PendingCall> commit(
            Transaction more,
            ShareSet after,
            Optional<ShareTransfer> transfer,
            Optional<ShareTransfer.Plan> plan,
            long now) {
        long version = knownRow.map(KnownRow::version).orElse(Transaction.ABSENT_VERSION);
        long renewals = knownRow.map(KnownRow::renewals).orElse(0L) + 1;
        Transaction whole =
                more.withCondition(ownKey(), version).withWrite(ownKey(), new HolderRow(self, renewals, after).write());
        return Optional.of(new PendingCall(new StoreCall.Commit(whole), now, transfer, plan));
    }

    private ShareSet currentShares() {
        return knownRow.map(KnownRow::shares).orElse(ShareSet.EMPTY);
    }

    private RowKey ownKey() {
        return HolderRow.keyOf(self, generation);
    }

    private PendingCall takePending() {
        PendingCall answered = pendingCall.orElseThrow(() -> new IllegalStateException("no call is under way"));
        pendingCall = Optional.empty();
        return answered;
    }

    /**
     * Tells what a row holds.
     *
     * @param found the row, empty if there is none, not null
     */
    public synchronized void read(Optional<Row> found) {
        PendingCall answered = takePending();
        if (answered.transfer().isPresent()) {
            prepareTransfer(answered.transfer().get(), found);
            return;
        }
        mustReadRow = false;
        Optional<HolderRow> content = found.flatMap(row -> HolderRow.read(row.value()));
        if (content.isEmpty()) {
            onRowLost();
            return;
        }
        long version = found.orElseThrow().version();
        if (knownRow.isPresent() && version > knownRow.get().version()) {
            sharesIfCommitApplied = Optional.empty();
        }
        knownRow = Optional.of(
                new KnownRow(version, content.get().renewals(), content.get().shares()));
    }

    private void onRowLost() {
        knownRow = Optional.empty();
        sharesIfCommitApplied = Optional.empty();
        generation++;
        leaseValidity.onLost();
    }

    /** Commits a transfer whose other row has just been read. */
    private void prepareTransfer(ShareTransfer transfer, Optional<Row> found) {
        if (knownRow.isEmpty() || transfer.kind() == ShareTransfer.Kind.TAKEOVER && !isStillDeparted(found)) {
            return;
        }
        ShareTransfer exact = transfer;
        if (transfer.kind() == ShareTransfer.Kind.HANDOVER && found.isPresent()) {
            AccountId account = transfer.account().orElseThrow();
            exact = ShareTransfer.handover(
                    account,
                    transfer.other(),
                    withdrawal.withdraw(account, Math.min(transfer.parts(), usableParts(account))));
        }
        Optional<ShareTransfer.Plan> plan = exact.plan(currentShares(), found);
        if (plan.isEmpty()) {
            return;
        }
        long now = clock.nanos();
        preparedCommit = commit(plan.get().transaction(), plan.get().sharesAfter(), Optional.of(exact), plan, now);
    }

    private boolean isStillDeparted(Optional<Row> found) {
        return found.isPresent()
                && departedHolders.departedRows(clock.nanos()).stream()
                        .anyMatch(row -> row.key().equals(found.get().key())
                                && row.version() == found.get().version());
    }

    /**
     * Tells what a scan has found.
     *
     * @param rows the rows, not null
     */
    public synchronized void scanned(List<Row> rows) {
        StoreCall.Scan scan = (StoreCall.Scan) takePending().call();
        if (scan.table().equals(HolderRow.TABLE)) {
            departedHolders.onRowsScanned(rows, clock.nanos());
            return;
        }
        Set<AccountId> taken = new HashSet<>();
        for (Row row : rows) {
            AccountRow.read(row.value())
                    .filter(content -> content.freeParts() == 0)
                    .ifPresent(content -> taken.add(AccountId.of(row.key().key())));
        }
        accounts.stream().filter(account -> !taken.contains(account)).forEach(this::claim);
    }

    /**
     * Tells whether a commit took effect.
     *
     * @param effective false if a condition did not hold
     */
    public synchronized void committed(boolean effective) {
        PendingCall answered = takePending();
        if (!effective) {
            mustReadRow = true;
            return;
        }
        if (isDeletion(answered)) {
            knownRow = Optional.empty();
            return;
        }
        ShareSet after = answered.plan().map(ShareTransfer.Plan::sharesAfter).orElse(currentShares());
        // The table service does not say which version the commit has made; the next commit needs it.
        mustReadRow = true;
        long version = knownRow.map(KnownRow::version).orElse(Transaction.ABSENT_VERSION);
        knownRow = Optional.of(
                new KnownRow(version, knownRow.map(KnownRow::renewals).orElse(0L) + 1, after));
        sharesIfCommitApplied = Optional.empty();
        renewedAt = answered.sentAt();
        leaseValidity.renewed(answered.sentAt());
        answered.transfer()
                .filter(transfer -> transfer.kind() == ShareTransfer.Kind.HANDOVER)
                .ifPresent(transfer -> handoverRecipients.add(transfer.other()));
        if (answered.plan().filter(ShareTransfer.Plan::firstIssue).isPresent()) {
            answered.transfer().flatMap(ShareTransfer::account).ifPresent(firstIssued::add);
        }
    }

    private boolean isDeletion(PendingCall answered) {
        return releaseAt != Long.MAX_VALUE
                && answered.transfer().isEmpty()
                && currentShares().isEmpty();
    }

    /**
     * Tells that the call had no answer.
     *
     * @param mayTakeEffect whether it may have taken effect, or may yet
     */
    public synchronized void failed(boolean mayTakeEffect) {
        PendingCall answered = takePending();
        retryAt = clock.nanos() + RETRY_DELAY.toNanos();
        if (!(answered.call() instanceof StoreCall.Commit) || !mayTakeEffect) {
            return;
        }
        mustReadRow = true;
        ShareSet after = answered.plan().map(ShareTransfer.Plan::sharesAfter).orElse(currentShares());
        sharesIfCommitApplied =
                Optional.of(sharesIfCommitApplied.map(after::minimum).orElse(after));
    }
}
