package org.geraniumreach.daemon.ledger;

import java.time.Clock;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import org.geraniumreach.link.Attempts;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.platform.ObjectStore;
import org.geraniumreach.platform.TableService;

/**
 * Runs each request with an idempotency key at most once.
 *
 * <p>Safe for use by several threads.
 */
public final class LedgerService implements AutoCloseable {

    /**
     * What the service works with.
     *
     * @param instance this entry
     * @param incarnation the number of this start of the process
     * @param table the table service
     * @param objects the object store
     * @param attempts sends to companions
     * @param liveEntry whether an entry is live as far as is known; a wrong answer costs time, never a second run
     * @param goneCompanion whether a companion's instance is known to be gone for good
     * @param clock the time of day, for the age of rows
     * @param random the source of attempt ids
     * @param executor runs what waits, and the blocking calls of the platform
     */
    public record Surroundings(
            InstanceId instance,
            long incarnation,
            TableService table,
            ObjectStore objects,
            Attempts attempts,
            Predicate<InstanceId> liveEntry,
            Predicate<InstanceId> goneCompanion,
            Clock clock,
            RandomGenerator random,
            ScheduledExecutorService executor) {}

    private final LedgerSettings settings;
    private final Surroundings surroundings;

    /**
     * Makes a service.
     *
     * @param settings the settings, not null
     * @param surroundings what the service works with, not null
     */
    public LedgerService(LedgerSettings settings, Surroundings surroundings) {
        this.settings = settings;
        this.surroundings = surroundings;
    }

    /** Begins the sweep of rows past their retention. */
    public void start() {}

    /**
     * Runs a request, unless it ran before, and gives the answer.
     *
     * @param request the request, not null
     * @param dispatch chooses where it goes, not null
     * @return the answer, or a failure with a {@link org.geraniumreach.model.ServingException} that says whether it ran, not
     *     null
     */
    public CompletableFuture<LedgerAnswer> perform(LedgerRequest request, Dispatch dispatch) {
        throw new UnsupportedOperationException(settings + " " + surroundings);
    }

    @Override
    public void close() {}
}
