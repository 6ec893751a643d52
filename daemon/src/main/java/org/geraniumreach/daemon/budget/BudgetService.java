package org.geraniumreach.daemon.budget;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.geraniumreach.link.Links;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.record.Configuration;
import org.geraniumreach.platform.TableService;

/**
 * The budgets of all client accounts at one entry.
 *
 * <p>Safe for use by several threads; each client account's state is under a lock of its own.
 */
public final class BudgetService implements AutoCloseable {

    /**
     * What the service works with.
     *
     * @param instance this entry's name on the list
     * @param linkAddress this entry's link address on the list; the socket must be bound already
     * @param incarnation the number of this start of the process
     * @param table the table service
     * @param links the links with the other entries
     * @param list the newest reading of the list, empty before the first
     * @param configuration the configuration in force
     * @param clock the source of elapsed time
     * @param random the source of random choices
     * @param executor runs what waits; calls of the table service block one of its threads at a time
     */
    public record Surroundings(
            InstanceId instance,
            InetSocketAddress linkAddress,
            long incarnation,
            TableService table,
            Links links,
            Supplier<Optional<ListReading>> list,
            Supplier<Configuration> configuration,
            MonotonicClock clock,
            RandomGenerator random,
            ScheduledExecutorService executor) {}

    private final BudgetSettings settings;
    private final Surroundings surroundings;

    /**
     * Makes a service that holds nothing yet.
     *
     * @param settings the settings, not null
     * @param surroundings what the service works with, not null
     */
    public BudgetService(BudgetSettings settings, Surroundings surroundings) {
        this.settings = settings;
        this.surroundings = surroundings;
    }

    /** Begins to take and keep shares. */
    public void start() {}

    /**
     * Sets tokens aside for a request, at once or after a short wait in order of arrival.
     *
     * @param account the client account, not null
     * @param tokens the prompt and the most that may be generated, at least 0
     * @param deadlineLeft the time that the request has left, not null
     * @param callback told once, maybe before this method returns, not null
     */
    public void reserve(AccountId account, long tokens, Duration deadlineLeft, BudgetCallback callback) {
        throw new UnsupportedOperationException(settings + " " + surroundings);
    }

    /** Takes the rates of the configuration now in force; call after each change. */
    public void configurationChanged() {}

    /** Puts all shares back for others to take, at the end of a drain; nothing is granted afterwards. */
    public void release() {}

    /** Stops without putting anything back. */
    @Override
    public void close() {}
}
