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
 * Renews this entry's lease periodically, and releases it on request.
 *
 *
 * <p>Confined to the event loop.
 */
public final class LeaseRenewer {

    private static final String RELEASED_PREFIX = "released ";

    /** A quarter of the lease duration, so that three renewals may be lost. */
    private static final Duration RENEWAL_INTERVAL = Lease.DURATION.dividedBy(4);

    private static final Duration RETRY_DELAY = Duration.ofMillis(400);
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(1_500);

    private final Lease lease;
    private final StorePort store;
    private final Timers timers;
    private final StoreAvailability availability;
    private final RowKey key;
    private final String incarnationText;
    private final Runnable onRenewed;
    private Cancellable call = Cancellable.NOOP;
    private Cancellable timer = Cancellable.NOOP;
    private boolean released;

    /**
     * Creates a renewer that has not started.
     *
     * @param lease the lease, not null
     * @param store the store, not null
     * @param timers schedules renewals and timeouts, not null
     * @param availability records the results of calls, not null
     * @param instance this entry's instance, not null
     * @param incarnation the incarnation of this entry's process
     * @param onRenewed run after each renewal, not null
     */
    public LeaseRenewer(
            Lease lease,
            StorePort store,
            Timers timers,
            StoreAvailability availability,
            String instance,
            long incarnation,
            Runnable onRenewed) {
        this.lease = Objects.requireNonNull(lease, "lease");
        this.store = Objects.requireNonNull(store, "store");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.availability = Objects.requireNonNull(availability, "availability");
        this.key = RowKey.of(TargetOwnership.LEASES_TABLE, instance);
        this.incarnationText = Long.toString(incarnation);
        this.onRenewed = Objects.requireNonNull(onRenewed, "onRenewed");
    }

    /**
     * Parses the incarnation that has released a lease from the lease's row.
     *
     * @param text the row's text, not null
     * @return the incarnation, or empty if the lease has not been released
     */
    public static OptionalLong releasedIncarnation(String text) {
        String incarnation = text.startsWith(RELEASED_PREFIX) ? text.substring(RELEASED_PREFIX.length()) : "";
        return incarnation.matches("-?\\d{1,18}") ? OptionalLong.of(Long.parseLong(incarnation)) : OptionalLong.empty();
    }

    /** Renews the lease now and periodically from then on, until it is released. */
    public void renew() {
        if (released) {
            return;
        }
        Lease.RenewalStart sending = lease.startRenewal();
        timer = timers.schedule(ANSWER_TIMEOUT, () -> {
            call.cancel();
            onRenewalReply(sending, new StoreReply.Unknown<>("no answer to a renewal"));
        });
        call = store.commit(
                Transaction.empty().withWrite(key, incarnationText), reply -> onRenewalReply(sending, reply));
    }

    private void onRenewalReply(Lease.RenewalStart sending, StoreReply<StorePort.CommitResult> reply) {
        timer.cancel();
        if (released) {
            return;
        }
        availability.record(reply);
        if (reply instanceof StoreReply.Value<StorePort.CommitResult> value) {
            lease.onRenewed(sending, value.value().version());
            timer = timers.schedule(RENEWAL_INTERVAL, this::renew);
            onRenewed.run();
            return;
        }
        timer = timers.schedule(RETRY_DELAY, this::renew);
    }

    /**
     * Releases the lease and records this in the store, so that other entries need not wait until it expires.
     *
     * @param onReply run once the call of the store has ended, not null
     */
    public void release(Runnable onReply) {
        released = true;
        lease.release();
        timer.cancel();
        call.cancel();
        store.commit(Transaction.empty().withWrite(key, RELEASED_PREFIX + incarnationText), reply -> {
            availability.record(reply);
            onReply.run();
        });
    }
}
