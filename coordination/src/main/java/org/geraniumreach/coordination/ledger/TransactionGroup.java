package org.geraniumreach.coordination.ledger;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;

/**
 * Transactions that are committed as one.
 *
 * <p>Invariant: no two of them touch the same row. Without that, two calls with one idempotency key would each be told that
 * their insert took effect, and both would send. Not safe for use by several threads.
 *
 * @param <T> what goes with each transaction, such as who waits for it
 */
public final class TransactionGroup<T> {

    private final List<Member<T>> members = new ArrayList<>();
    private final Set<RowKey> rows = new HashSet<>();

    /**
     * A transaction with what goes with it.
     *
     * @param transaction the transaction
     * @param tag what goes with it
     * @param <T> the type of what goes with it
     */
    public record Member<T>(Transaction transaction, T tag) {}

    /**
     * Adds a transaction, unless it touches a row that another one touches.
     *
     * @param member the transaction, not null
     * @return false if it was not added
     */
    public boolean add(Member<T> member) {
        Set<RowKey> touched = new HashSet<>();
        Stream.concat(
                        member.transaction().conditions().stream().map(Transaction.Condition::key),
                        member.transaction().writes().stream().map(Transaction.Write::key))
                .forEach(touched::add);
        if (touched.stream().anyMatch(rows::contains)) {
            return false;
        }
        rows.addAll(touched);
        members.add(member);
        return true;
    }

    public int size() {
        return members.size();
    }

    public List<Member<T>> members() {
        return List.copyOf(members);
    }

    /**
     * Gets the one transaction that does what all do.
     *
     * @return the transaction, not null
     */
    public Transaction merged() {
        List<Transaction.Condition> conditions = new ArrayList<>();
        List<Transaction.Write> writes = new ArrayList<>();
        for (Member<T> member : members) {
            conditions.addAll(member.transaction().conditions());
            writes.addAll(member.transaction().writes());
        }
        return new Transaction(conditions, writes);
    }

    /**
     * Splits the group, to find out which transaction's condition did not hold.
     *
     * @return the two halves, not null
     */
    public List<TransactionGroup<T>> halves() {
        TransactionGroup<T> first = new TransactionGroup<>();
        TransactionGroup<T> second = new TransactionGroup<>();
        for (int index = 0; index < members.size(); index++) {
            (index < members.size() / 2 ? first : second).add(members.get(index));
        }
        return List.of(first, second);
    }
}
