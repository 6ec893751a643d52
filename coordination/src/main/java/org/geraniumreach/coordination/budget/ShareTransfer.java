package org.geraniumreach.coordination.budget;

import java.util.Optional;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;

/**
 * A transfer of shares between this entry's row and another row.
 *
 * <p>Invariant: the transaction removes from one row what it adds to the other and is conditional on the versions of
 * both, so the parts of an account over all rows never exceed the whole, even with concurrent writers. Immutable.
 *
 * @param kind the kind of transfer
 * @param account the client account; empty for a takeover, which moves the shares of all accounts
 * @param other the key of the other row
 * @param parts the parts to move in a handover, else 0
 */
record ShareTransfer(Kind kind, Optional<AccountId> account, RowKey other, long parts) {

    /** The kinds of transfers. */
    enum Kind {
        /** Takes the free parts of an account. */
        CLAIM,
        /** Gives parts to another holder. */
        HANDOVER,
        /** Returns all parts of an account to its free parts. */
        GIVE_BACK,
        /** Takes all shares of a departed holder and deletes its row. */
        TAKEOVER
    }

    /**
     * A transfer computed from the current contents of both rows.
     *
     * @param transaction the condition and write on the other row
     * @param sharesAfter the shares that this entry holds afterwards
     * @param firstIssue whether no entry has ever held parts of the account before
     */
    record Plan(Transaction transaction, ShareSet sharesAfter, boolean firstIssue) {}

    static ShareTransfer claim(AccountId account) {
        return new ShareTransfer(Kind.CLAIM, Optional.of(account), AccountRow.keyOf(account), 0);
    }

    static ShareTransfer handover(AccountId account, RowKey recipient, long parts) {
        return new ShareTransfer(Kind.HANDOVER, Optional.of(account), recipient, parts);
    }

    static ShareTransfer giveBack(AccountId account) {
        return new ShareTransfer(Kind.GIVE_BACK, Optional.of(account), AccountRow.keyOf(account), 0);
    }

    static ShareTransfer takeover(RowKey departed) {
        return new ShareTransfer(Kind.TAKEOVER, Optional.empty(), departed, 0);
    }

    /**
     * Computes the transfer.
     *
     * @param own the shares that this entry holds
     * @param found the other row, empty if it does not exist
     * @return the plan, or empty if there is nothing to transfer
     */
    Optional<Plan> plan(ShareSet own, Optional<Row> found) {
        return switch (kind) {
            case CLAIM -> planClaim(own, found);
            case HANDOVER -> planHandover(own, found);
            case GIVE_BACK -> planGiveBack(own, found);
            case TAKEOVER -> planTakeover(own, found);
        };
    }

    private Optional<Plan> planClaim(ShareSet own, Optional<Row> found) {
        AccountId claimed = account.orElseThrow();
        Optional<AccountRow> row = accountRow(found);
        if (row.isEmpty() || row.get().freeParts() == 0) {
            return Optional.empty();
        }
        long after = own.parts(claimed) + row.get().freeParts();
        if (after > ShareParts.WHOLE) {
            return Optional.empty();
        }
        Transaction change = condition(found).withWrite(other, new AccountRow(0).write());
        return Optional.of(new Plan(change, own.with(claimed, after), found.isEmpty()));
    }

    private Optional<Plan> planGiveBack(ShareSet own, Optional<Row> found) {
        AccountId transferred = account.orElseThrow();
        Optional<AccountRow> row = accountRow(found);
        if (found.isEmpty() || row.isEmpty() || own.parts(transferred) == 0) {
            return Optional.empty();
        }
        long free = Math.min(ShareParts.WHOLE, row.get().freeParts() + own.parts(transferred));
        Transaction change = condition(found).withWrite(other, new AccountRow(free).write());
        return Optional.of(new Plan(change, own.with(transferred, 0), false));
    }

    private Optional<AccountRow> accountRow(Optional<Row> found) {
        return found.isEmpty()
                ? Optional.of(new AccountRow(ShareParts.WHOLE))
                : AccountRow.read(found.get().value());
    }

    private Optional<Plan> planHandover(ShareSet own, Optional<Row> found) {
        AccountId transferred = account.orElseThrow();
        Optional<HolderRow> recipient = found.flatMap(row -> HolderRow.read(row.value()));
        if (recipient.isEmpty() || parts <= 0 || parts > own.parts(transferred)) {
            return Optional.empty();
        }
        HolderRow before = recipient.get();
        if (before.shares().parts(transferred) + parts > ShareParts.WHOLE) {
            // This entry was frozen, and the recipient has taken over the shares that this entry believes to hold.
            return Optional.empty();
        }
        ShareSet recipientShares =
                before.shares().with(transferred, before.shares().parts(transferred) + parts);
        String after = new HolderRow(before.holder(), before.renewals(), recipientShares).write();
        Transaction change = condition(found).withWrite(other, after);
        return Optional.of(new Plan(change, own.with(transferred, own.parts(transferred) - parts), false));
    }

    private Optional<Plan> planTakeover(ShareSet own, Optional<Row> found) {
        Optional<HolderRow> departed = found.flatMap(row -> HolderRow.read(row.value()));
        return departed.filter(row -> fits(own, row.shares()))
                .map(row -> new Plan(condition(found).withDelete(other), own.plus(row.shares()), false));
    }

    private static boolean fits(ShareSet own, ShareSet added) {
        return added.accounts().stream().allMatch(each -> own.parts(each) + added.parts(each) <= ShareParts.WHOLE);
    }

    private Transaction condition(Optional<Row> found) {
        return Transaction.empty().withCondition(other, found.map(Row::version).orElse(Transaction.ABSENT_VERSION));
    }
}
