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
 * Manages this entry's row of shares in the table service.
 *
 * <p>Invariants: {@link #usableParts} never exceeds what the row is certain to hold. A commit that gives parts away
 * counts as applied from before it is sent. If its answer is lost, it counts until a later commit on the same row has
 * succeeded or the row's version has changed: until then it may still take effect, even if a read returns the old row.
 * Received parts count only once they have been read or their commit has been confirmed.
 *
 * <p>At most one call to the table service is pending: {@link #nextCall} returns it, and one of {@link #onRowRead}, {@link
 * #onScanned}, {@link #onCommitted} and {@link #onCallFailed} reports its result. Safe for use by several threads; the state is
 * guarded by this object's lock.
 */
public final class ShareManager {

    private static final int SCAN_ROW_LIMIT = 1000;
    private static final int SCANNER_COUNT = 3;
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    private final HolderId self;
    private final BudgetPolicy policy;
    private final LeaseValidity leaseValidity;
    private final MonotonicClock clock;
    private final Withdrawal withdrawal;
    private final DepartedHolderDetector departedHolders;
    private final long startedAt;
    private final Deque<ShareTransfer> transfers = new ArrayDeque<>();
    private int generation;
    private Optional<KnownRow> knownRow = Optional.empty();
    /**
     * The shares in the row if a commit whose answer was lost has taken effect; per account the minimum over all such
     * commits.
     */
    private Optional<ShareSet> sharesIfCommitApplied = Optional.empty();

    private Optional<PendingCall> pendingCall = Optional.empty();
    /** The commit of a transfer whose other row has been read. */
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

    /** Withdraws parts from an account's budget before a commit that gives them away. */
    @FunctionalInterface
    public interface Withdrawal {

        /**
         * Withdraws parts.
         *
         * @param account the client account, not null
         * @param parts the parts requested
         * @param guaranteedParts the parts to withdraw even if they hold tokens, which are then lost
         * @return the parts withdrawn, which are not spent afterwards
         */
        long withdraw(AccountId account, long parts, long guaranteedParts);
    }

    /** The last known content of this entry's row. */
    private record KnownRow(long version, long renewals, ShareSet shares) {}

    /** A call to the table service and the transfer for which it is made, if any. */
    private record PendingCall(
            StoreCall call, long sentAt, Optional<ShareTransfer> transfer, Optional<ShareTransfer.Plan> plan) {

        private PendingCall withSentAt(long now) {
            return new PendingCall(call, now, transfer, plan);
        }
    }

    /**
     * Creates an instance without shares.
     *
     * @param self this entry, not null
     * @param policy the time limits, not null
     * @param leaseValidity updated after commits on the row and reads of the instance list, not null
     * @param clock the source of elapsed time, not null
     * @param withdrawal withdraws parts before they are given away, not null
     */
    public ShareManager(
            HolderId self,
            BudgetPolicy policy,
            LeaseValidity leaseValidity,
            MonotonicClock clock,
            Withdrawal withdrawal) {
        this.self = Objects.requireNonNull(self, "self");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.leaseValidity = Objects.requireNonNull(leaseValidity, "leaseValidity");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.withdrawal = Objects.requireNonNull(withdrawal, "withdrawal");
        this.startedAt = clock.nanos();
        this.renewedAt = startedAt;
        this.nextScanAt = startedAt;
        long predecessorLoansEndAt = startedAt + policy.lenderNanos(policy.loanDuration());
        this.departedHolders =
                new DepartedHolderDetector(self, policy.quarantine().toNanos(), predecessorLoansEndAt);
    }

    /**
     * Gets the parts of an account that this entry is certain to hold, whether or not its lease is valid.
     *
     * @param account the account, not null
     * @return the parts
     */
    public synchronized long usableParts(AccountId account) {
        long parts = currentShares().parts(account);
        if (sharesIfCommitApplied.isPresent()) {
            parts = Math.min(parts, sharesIfCommitApplied.get().parts(account));
        }
        // Parts that a pending commit gives away no longer count: the other entry may hold them before the answer
        // arrives.
        for (Optional<PendingCall> unanswered : List.of(pendingCall, preparedCommit)) {
            Optional<ShareSet> after = unanswered.flatMap(PendingCall::plan).map(ShareTransfer.Plan::sharesAfter);
            parts = Math.min(parts, after.map(shares -> shares.parts(account)).orElse(parts));
        }
        return parts;
    }

    /**
     * Gets and clears the accounts whose parts this entry was the first ever to hold.
     *
     * @return the accounts, not null
     */
    public synchronized Set<AccountId> takeFirstIssued() {
        Set<AccountId> taken = firstIssued;
        firstIssued = new HashSet<>();
        return taken;
    }

    /**
     * Gets and clears the rows to which parts were handed over, so that their holders can be notified to read them.
     *
     * @return the rows, not null
     */
    public synchronized Set<RowKey> takeHandoverRecipients() {
        Set<RowKey> taken = handoverRecipients;
        handoverRecipients = new HashSet<>();
        return taken;
    }

    /**
     * Gets the key of this entry's row.
     *
     * @return the key, empty if the row does not exist
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
     * Handles a read of the instance list.
     *
     * @param listed the listed entries, not null
     * @param requestedAt a time before the list was requested
     */
    public synchronized void onHoldersListed(Set<ListedHolder> listed, long requestedAt) {
        long now = clock.nanos();
        if (listed.contains(self.toListedHolder())) {
            leaseValidity.onListed(requestedAt, now);
        }
        departedHolders.onHoldersListed(listed, requestedAt, now);
        // Only a few entries scan: with hundreds of entries, scans by all of them would use a large part of the
        // platform's read capacity.
        isScanner = listed.stream()
                        .filter(other -> scannerRank(other) < scannerRank(self.toListedHolder()))
                        .count()
                < SCANNER_COUNT;
    }

    private static int scannerRank(ListedHolder holder) {
        return holder.instance().value().hashCode() * 0x9E3779B1;
    }

    /**
     * Enqueues a claim of the free parts of an account.
     *
     * @param account the account, not null
     */
    public synchronized void claim(AccountId account) {
        if (accounts.contains(account)) {
            enqueue(ShareTransfer.claim(account));
        }
    }

    /**
     * Enqueues a handover of parts.
     *
     * @param handover the parts and the recipient, not null
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

    /** Requests a read of this entry's row, which another entry may have changed. */
    public synchronized void refresh() {
        mustReadRow = knownRow.isPresent();
    }

    /**
     * Starts to return all shares; the accounts' budgets must have been released before.
     *
     * @param loansEndAt the time when all given loans have ended
     */
    public synchronized void release(long loansEndAt) {
        transfers.clear();
        releaseAt = loansEndAt;
    }

    /**
     * Queries whether all shares have been returned.
     *
     * @return true if so
     */
    public synchronized boolean isReleased() {
        return releaseAt != Long.MAX_VALUE && knownRow.isEmpty() && pendingCall.isEmpty();
    }

    /**
     * Gets the next call to the table service.
     *
     * @return the call, empty if none is due or one is pending
     */
    public synchronized Optional<StoreCall> nextCall() {
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
        ShareSet remainingShares = currentShares();
        if (now < releaseAt) {
            return Optional.empty();
        }
        if (remainingShares.isEmpty()) {
            Transaction delete = Transaction.empty()
                    .withCondition(ownKey(), knownRow.orElseThrow().version())
                    .withDelete(ownKey());
            return simpleCall(new StoreCall.Commit(delete), now);
        }
        ShareTransfer transfer =
                ShareTransfer.giveBack(remainingShares.accounts().iterator().next());
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
        boolean startedRecently = now - startedAt < policy.quarantine().toNanos();
        if (now < nextScanAt || !isScanner && !startedRecently) {
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

    /** Creates a commit that writes this entry's row and thereby renews the lease. */
    private Optional<PendingCall> commit(
            Transaction change,
            ShareSet after,
            Optional<ShareTransfer> transfer,
            Optional<ShareTransfer.Plan> plan,
            long now) {
        long version = knownRow.map(KnownRow::version).orElse(Transaction.ABSENT_VERSION);
        long renewals = knownRow.map(KnownRow::renewals).orElse(0L) + 1;
        Transaction transaction = change.withCondition(ownKey(), version)
                .withWrite(ownKey(), new HolderRow(self, renewals, after).write());
        return Optional.of(new PendingCall(new StoreCall.Commit(transaction), now, transfer, plan));
    }

    private ShareSet currentShares() {
        return knownRow.map(KnownRow::shares).orElse(ShareSet.EMPTY);
    }

    private RowKey ownKey() {
        return HolderRow.keyOf(self, generation);
    }

    private PendingCall takePending() {
        PendingCall answeredCall = pendingCall.orElseThrow(() -> new IllegalStateException("no call is pending"));
        pendingCall = Optional.empty();
        return answeredCall;
    }

    /**
     * Handles the result of a read.
     *
     * @param found the row, empty if there is none, not null
     */
    public synchronized void onRowRead(Optional<Row> found) {
        PendingCall answeredCall = takePending();
        if (answeredCall.transfer().isPresent()) {
            prepareTransfer(answeredCall.transfer().get(), found);
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

    /** Prepares the commit of a transfer whose other row has just been read. */
    private void prepareTransfer(ShareTransfer transfer, Optional<Row> found) {
        if (knownRow.isEmpty() || transfer.kind() == ShareTransfer.Kind.TAKEOVER && !isStillDeparted(found)) {
            return;
        }
        ShareTransfer adjusted = transfer;
        if (transfer.kind() == ShareTransfer.Kind.HANDOVER && found.isPresent()) {
            AccountId account = transfer.account().orElseThrow();
            long parts = Math.min(transfer.parts(), usableParts(account));
            adjusted = ShareTransfer.handover(
                    account,
                    transfer.other(),
                    withdrawal.withdraw(account, parts, partsBelowMinimum(account, found.get())));
        }
        Optional<ShareTransfer.Plan> plan = adjusted.plan(currentShares(), found);
        if (plan.isEmpty()) {
            return;
        }
        long now = clock.nanos();
        preparedCommit = commit(plan.get().transaction(), plan.get().sharesAfter(), Optional.of(adjusted), plan, now);
    }

    /** Gets the parts that a recipient lacks to hold its minimum share. */
    private long partsBelowMinimum(AccountId account, Row recipient) {
        long recipientParts = HolderRow.read(recipient.value())
                .map(row -> row.shares().parts(account))
                .orElse(0L);
        return Math.max(0, DemandSharing.minimumParts(usableParts(account) + recipientParts) - recipientParts);
    }

    private boolean isStillDeparted(Optional<Row> found) {
        return found.isPresent()
                && departedHolders.departedRows(clock.nanos()).stream()
                        .anyMatch(row -> row.key().equals(found.get().key())
                                && row.version() == found.get().version());
    }

    /**
     * Handles the result of a scan.
     *
     * @param rows the rows, not null
     */
    public synchronized void onScanned(List<Row> rows) {
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
     * Handles the result of a commit.
     *
     * @param effective whether the commit took effect; false if a condition did not hold
     */
    public synchronized void onCommitted(boolean effective) {
        PendingCall answeredCall = takePending();
        if (!effective) {
            mustReadRow = true;
            return;
        }
        if (isDeletion(answeredCall)) {
            knownRow = Optional.empty();
            return;
        }
        ShareSet after =
                answeredCall.plan().map(ShareTransfer.Plan::sharesAfter).orElse(currentShares());
        // The table service does not return the version created by the commit, which the next commit needs.
        mustReadRow = true;
        long version = knownRow.map(KnownRow::version).orElse(Transaction.ABSENT_VERSION);
        knownRow = Optional.of(
                new KnownRow(version, knownRow.map(KnownRow::renewals).orElse(0L) + 1, after));
        sharesIfCommitApplied = Optional.empty();
        renewedAt = answeredCall.sentAt();
        leaseValidity.onRenewed(answeredCall.sentAt());
        answeredCall
                .transfer()
                .filter(transfer -> transfer.kind() == ShareTransfer.Kind.HANDOVER)
                .ifPresent(transfer -> handoverRecipients.add(transfer.other()));
        if (answeredCall.plan().filter(ShareTransfer.Plan::firstIssue).isPresent()) {
            answeredCall.transfer().flatMap(ShareTransfer::account).ifPresent(firstIssued::add);
        }
    }

    private boolean isDeletion(PendingCall answeredCall) {
        return releaseAt != Long.MAX_VALUE
                && answeredCall.transfer().isEmpty()
                && currentShares().isEmpty();
    }

    /**
     * Handles the failure of the pending call.
     *
     * @param mayTakeEffect whether the call may have taken effect or may still do so
     */
    public synchronized void onCallFailed(boolean mayTakeEffect) {
        PendingCall answeredCall = takePending();
        retryAt = clock.nanos() + RETRY_DELAY.toNanos();
        if (!(answeredCall.call() instanceof StoreCall.Commit) || !mayTakeEffect) {
            return;
        }
        mustReadRow = true;
        ShareSet after =
                answeredCall.plan().map(ShareTransfer.Plan::sharesAfter).orElse(currentShares());
        sharesIfCommitApplied =
                Optional.of(sharesIfCommitApplied.map(after::minimum).orElse(after));
    }
}
