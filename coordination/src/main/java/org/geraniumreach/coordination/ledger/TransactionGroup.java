package org.geraniumreach.coordination.ledger;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;

/**
 * A group of transactions that are committed as a single one.
 *
 * <p>Invariant: no two of them touch the same row. Otherwise two calls with the same idempotency key would both be told
 * that their insert took effect, and both would send the request. Not safe for use by several threads.
 *
 * @param <T> the type of the object attached to each transaction, such as a callback
 */
public final class TransactionGroup<T> {

    private final List<Member<T>> members = new ArrayList<>();
    private final Set<RowKey> rows = new HashSet<>();

    /**
     * A transaction and its attached object.
     *
     * @param transaction the transaction
     * @param attachment the attached object
     * @param <T> the type of the attached object
     */
    public record Member<T>(Transaction transaction, T attachment) {}

    /**
     * Adds a transaction unless it touches a row that a transaction of the group touches already.
     *
     * @param member the transaction, not null
     * @return false if it was not added
     */
    public boolean add(Member<T> member) {
        Set<RowKey> touchedRows = new HashSet<>();
        Stream.concat(
                        member.transaction().conditions().stream().map(Transaction.Condition::key),
                        member.transaction().writes().stream().map(Transaction.Write::key))
                .forEach(touchedRows::add);
        if (touchedRows.stream().anyMatch(rows::contains)) {
            return false;
        }
        rows.addAll(touchedRows);
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
     * Gets a single transaction with the conditions and writes of all transactions.
     *
     * @return the transaction, not null
     */
    public Transaction merge() {
        List<Transaction.Condition> conditions = new ArrayList<>();
        List<Transaction.Write> writes = new ArrayList<>();
        for (Member<T> member : members) {
            conditions.addAll(member.transaction().conditions());
            writes.addAll(member.transaction().writes());
        }
        return new Transaction(conditions, writes);
    }

    /**
     * Splits the group to find the transaction whose condition did not hold.
     *
     * @return the two halves, not null
     */
    public List<TransactionGroup<T>> split() {
        TransactionGroup<T> first = new TransactionGroup<>();
        TransactionGroup<T> second = new TransactionGroup<>();
        for (int index = 0; index < members.size(); index++) {
            (index < members.size() / 2 ? first : second).add(members.get(index));
        }
        return List.of(first, second);
    }
}
