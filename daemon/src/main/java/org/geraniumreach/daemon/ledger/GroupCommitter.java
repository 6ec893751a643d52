package org.geraniumreach.daemon.ledger;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import org.geraniumreach.coordination.ledger.TransactionGroup;
import org.geraniumreach.model.table.Transaction;
import org.geraniumreach.ports.PlatformException;
import org.geraniumreach.ports.TableService;

/**
 * Commits small transactions in groups, each as one larger transaction.
 *
 * <p>Invariants: each transaction gets its own outcome; a group whose conditions did not all hold is split until the
 * conflicting transaction is alone, so that a conflict fails no other transaction. Safe for use by several threads;
 * one lock guards the open group and is not held during table service calls.
 */
final class GroupCommitter {

    private final TableService table;
    private final ScheduledExecutorService executor;
    private final int maxGroupSize;
    private final Duration maxWait;
    private final Object lock = new Object();
    private TransactionGroup<CompletableFuture<Outcome>> openGroup = new TransactionGroup<>();
    private ScheduledFuture<?> flushTimer;

    /** The outcome of a transaction. */
    enum Outcome {
        COMMITTED,
        CONFLICT,
        /** The table service did not answer, and the transaction will not take effect. */
        FAILED,
        /** The table service did not answer, and the transaction may have taken effect or may still do so. */
        UNKNOWN
    }

    GroupCommitter(TableService table, ScheduledExecutorService executor, int maxGroupSize, Duration maxWait) {
        this.table = table;
        this.executor = executor;
        this.maxGroupSize = maxGroupSize;
        this.maxWait = maxWait;
    }

    /**
     * Commits a transaction as part of a group.
     *
     * @param transaction the transaction, not null
     * @return completed with the outcome, not null
     */
    CompletableFuture<Outcome> commit(Transaction transaction) {
        TransactionGroup.Member<CompletableFuture<Outcome>> member =
                new TransactionGroup.Member<>(transaction, new CompletableFuture<>());
        synchronized (lock) {
            if (!openGroup.add(member)) {
                submitOpenGroup();
                openGroup.add(member);
            }
            if (openGroup.size() >= maxGroupSize) {
                submitOpenGroup();
            } else if (flushTimer == null) {
                flushTimer = executor.schedule(this::flush, maxWait.toNanos(), TimeUnit.NANOSECONDS);
            }
        }
        return member.attachment();
    }

    private void flush() {
        synchronized (lock) {
            submitOpenGroup();
        }
    }

    private void submitOpenGroup() {
        if (flushTimer != null) {
            flushTimer.cancel(false);
            flushTimer = null;
        }
        if (openGroup.size() == 0) {
            return;
        }
        TransactionGroup<CompletableFuture<Outcome>> full = openGroup;
        openGroup = new TransactionGroup<>();
        executor.execute(() -> commitGroup(full));
    }

    private void commitGroup(TransactionGroup<CompletableFuture<Outcome>> group) {
        Outcome outcome = commitOnce(group.merge());
        if (outcome == Outcome.CONFLICT && group.size() > 1) {
            group.split().forEach(this::commitGroup);
            return;
        }
        group.members().forEach(member -> member.attachment().complete(outcome));
    }

    private Outcome commitOnce(Transaction transaction) {
        try {
            return table.commit(transaction) ? Outcome.COMMITTED : Outcome.CONFLICT;
        } catch (PlatformException failure) {
            return failure.effect() == PlatformException.Effect.NONE ? Outcome.FAILED : Outcome.UNKNOWN;
        } catch (RuntimeException fault) {
            return Outcome.UNKNOWN;
        }
    }
}
