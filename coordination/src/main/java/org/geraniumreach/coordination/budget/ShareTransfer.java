package org.geraniumreach.coordination.budget;

import java.util.Optional;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;

/**
 * A change of the shares in this entry's row that keeps their sum over all rows.
 *
 * <p>Invariant: what the transaction adds to one row it takes from the other, and both versions are conditions, so the parts
 * of an account never come to more than the whole, whoever else writes at the same time. Immutable.
 *
 * @param kind what is done
 * @param account the client account; empty for a takeover, which is of all accounts
 * @param other the other row
 * @param parts the parts to move, for a handover
 */
record ShareTransfer(Kind kind, Optional<AccountId> account, RowKey other, long parts) {

    /** What a transfer does. */
    enum Kind {
        /** Takes the parts of an account that nobody holds. */
        CLAIM,
        /** Gives parts to another holder. */
        HANDOVER,
        /** Puts all parts of an account back to where nobody holds them. */
        GIVE_BACK,
        /** Takes all shares of a holder that is gone, and deletes its row. */
        TAKEOVER
    }

    /**
     * A transfer as worked out against the rows' present content.
     *
     * @param transaction what it does to the other row
     * @param sharesAfter what this entry holds afterwards
     * @param firstIssue whether the account's parts were never held before
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

    static ShareTransfer takeover(RowKey gone) {
        return new ShareTransfer(Kind.TAKEOVER, Optional.empty(), gone, 0);
    }

    /**
     * Works the transfer out.
     *
     * @param own what this entry holds
     * @param found the other row, empty if it does not exist
     * @return the plan, or empty if there is nothing to do
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
        AccountId wanted = account.orElseThrow();
        Optional<AccountRow> row = accountRow(found);
        if (row.isEmpty() || row.get().freeParts() == 0) {
            return Optional.empty();
        }
        long after = own.parts(wanted) + row.get().freeParts();
        if (after > ShareParts.WHOLE) {
            return Optional.empty();
        }
        Transaction change = condition(found).withWrite(other, new AccountRow(0).write());
        return Optional.of(new Plan(change, own.with(wanted, after), found.isEmpty()));
    }

    private Optional<Plan> planGiveBack(ShareSet own, Optional<Row> found) {
        AccountId given = account.orElseThrow();
        Optional<AccountRow> row = accountRow(found);
        if (found.isEmpty() || row.isEmpty() || own.parts(given) == 0) {
            return Optional.empty();
        }
        long free = Math.min(ShareParts.WHOLE, row.get().freeParts() + own.parts(given));
        Transaction change = condition(found).withWrite(other, new AccountRow(free).write());
        return Optional.of(new Plan(change, own.with(given, 0), false));
    }

    private Optional<AccountRow> accountRow(Optional<Row> found) {
        return found.isEmpty()
                ? Optional.of(new AccountRow(ShareParts.WHOLE))
                : AccountRow.read(found.get().value());
    }

    private Optional<Plan> planHandover(ShareSet own, Optional<Row> found) {
        AccountId given = account.orElseThrow();
        Optional<HolderRow> recipient = found.flatMap(row -> HolderRow.read(row.value()));
        if (recipient.isEmpty() || parts <= 0 || parts > own.parts(given)) {
            return Optional.empty();
        }
        HolderRow before = recipient.get();
        if (before.shares().parts(given) + parts > ShareParts.WHOLE) {
            // This entry was frozen, and the other one has taken over what is thought to be held here.
            return Optional.empty();
        }
        ShareSet theirs = before.shares().with(given, before.shares().parts(given) + parts);
        String after = new HolderRow(before.holder(), before.renewals(), theirs).write();
        Transaction change = condition(found).withWrite(other, after);
        return Optional.of(new Plan(change, own.with(given, own.parts(given) - parts), false));
    }

    private Optional<Plan> planTakeover(ShareSet own, Optional<Row> found) {
        Optional<HolderRow> gone = found.flatMap(row -> HolderRow.read(row.value()));
        return gone.filter(row -> fits(own, row.shares()))
                .map(row -> new Plan(condition(found).withDelete(other), own.plus(row.shares()), false));
    }

    private static boolean fits(ShareSet own, ShareSet more) {
        return more.accounts().stream().allMatch(each -> own.parts(each) + more.parts(each) <= ShareParts.WHOLE);
    }

    private Transaction condition(Optional<Row> found) {
        return Transaction.empty().withCondition(other, found.map(Row::version).orElse(Transaction.ABSENT_VERSION));
    }
}
