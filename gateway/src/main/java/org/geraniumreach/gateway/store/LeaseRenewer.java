package org.geraniumreach.gateway.store;

import java.time.Duration;
import java.util.Objects;
import java.util.OptionalLong;

import org.geraniumreach.gateway.adapter.Lease;
import org.geraniumreach.gateway.adapter.TargetOwnership;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.StorePort;
import org.geraniumreach.gateway.port.StoreReply;
import org.geraniumreach.gateway.port.Timers;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;

/**
 * Renews this entry's lease.
 *
 * <p>Confined to the event loop.
 */
public final class LeaseRenewer {

    private static final String RELEASED = "released ";

    /** A quarter of the lease, so that three renewals may be lost. */
    private static final Duration INTERVAL = Lease.DURATION.dividedBy(4);

    private static final Duration AFTER_FAILURE = Duration.ofMillis(400);
    private static final Duration ANSWER_LIMIT = Duration.ofMillis(1_500);

    private final Lease lease;
    private final StorePort store;
    private final Timers timers;
    private final StoreAvailability watch;
    private final RowKey key;
    private final String content;
    private final Runnable renewed;
    private Cancellable call = Cancellable.NOTHING;
    private Cancellable timer = Cancellable.NOTHING;
    private boolean released;

    /**
     * Makes a keeper that has not begun.
     *
     * @param lease the lease, not null
     * @param store the store, not null
     * @param timers runs actions later, not null
     * @param watch told of what came of calls, not null
     * @param instance this entry's instance, not null
     * @param incarnation this life of its process
     * @param renewed run after each renewal, not null
     */
    public LeaseRenewer(
            Lease lease,
            StorePort store,
            Timers timers,
            StoreAvailability watch,
            String instance,
            long incarnation,
            Runnable renewed) {
        this.lease = Objects.requireNonNull(lease, "lease");
        this.store = Objects.requireNonNull(store, "store");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.watch = Objects.requireNonNull(watch, "watch");
        this.key = RowKey.of(TargetOwnership.LEASES, instance);
        this.content = Long.toString(incarnation);
        this.renewed = Objects.requireNonNull(renewed, "renewed");
    }

    /**
     * Reads from a lease's row which life of its entry's process has said that it acts no more.
     *
     * @param text the row's text, not null
     * @return the life, or empty if the row says no such thing
     */
    public static OptionalLong released(String text) {
        String life = text.startsWith(RELEASED) ? text.substring(RELEASED.length()) : "";
        return life.matches("-?\\d{1,18}") ? OptionalLong.of(Long.parseLong(life)) : OptionalLong.empty();
    }

    /** Renews the lease now, and from now on. */
    public void renew() {
        if (released) {
            return;
        }
        Lease.Sending sending = lease.sending();
        timer = timers.after(ANSWER_LIMIT, () -> {
            call.cancel();
            took(sending, new StoreReply.Unknown<>("no answer to a renewal"));
        });
        call = store.commit(Transaction.empty().withWrite(key, content), reply -> took(sending, reply));
    }

    private void took(Lease.Sending sending, StoreReply<StorePort.Decision> reply) {
        timer.cancel();
        if (released) {
            return;
        }
        watch.record(reply);
        if (reply instanceof StoreReply.Value<StorePort.Decision>) {
            lease.renewed(sending);
            timer = timers.after(INTERVAL, this::renew);
            renewed.run();
            return;
        }
        timer = timers.after(AFTER_FAILURE, this::renew);
    }

    /**
     * Ends the lease, and says so, so that others need not wait it out.
     *
     * @param told run once the store has answered, not null
     */
    public void release(Runnable told) {
        released = true;
        lease.release();
        timer.cancel();
        call.cancel();
        store.commit(Transaction.empty().withWrite(key, RELEASED + content), reply -> {
            watch.record(reply);
            told.run();
        });
    }
}
