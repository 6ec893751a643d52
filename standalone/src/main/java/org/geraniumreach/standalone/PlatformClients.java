package org.geraniumreach.standalone;

import java.net.URI;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;

import org.geraniumreach.ports.InstanceList;
import org.geraniumreach.ports.ModelEngine;
import org.geraniumreach.ports.ObjectStore;
import org.geraniumreach.ports.PlainService;
import org.geraniumreach.ports.TableService;

/**
 * Creates HTTP clients of the platform's services and of targets, which share a thread pool.
 *
 * <p>Listeners of engine streams run on these threads and must not block. Safe for use by several threads.
 */
public final class PlatformClients implements AutoCloseable {

    /** The maximum response size, except for objects. */
    private static final int MAXIMUM_ANSWER_BYTES = 8 << 20;

    private static final int MAXIMUM_OBJECT_BYTES = 64 << 20;

    private final ExecutorService executor;
    private final ScheduledExecutorService timer;

    private PlatformClients(ExecutorService executor, ScheduledExecutorService timer) {
        this.executor = executor;
        this.timer = timer;
    }

    /**
     * Creates a factory of clients and its threads.
     *
     * @param threads the number of threads that process responses, at least 1
     * @return the factory, not null
     */
    public static PlatformClients create(int threads) {
        if (threads < 1) {
            throw new IllegalArgumentException("threads below 1: " + threads);
        }
        ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1, threadFactory("platform-timer"));
        timer.setRemoveOnCancelPolicy(true);
        return new PlatformClients(Executors.newFixedThreadPool(threads, threadFactory("platform-client")), timer);
    }

    private static ThreadFactory threadFactory(String name) {
        AtomicInteger number = new AtomicInteger();
        return task -> {
            Thread thread = new Thread(task, name + "-" + number.incrementAndGet());
            thread.setDaemon(true);
            return thread;
        };
    }

    /**
     * Creates a client of the table service.
     *
     * @param base its URL, not null
     * @param limit the time limit of a call, not null
     * @return the client, not null
     */
    public TableService tableService(URI base, Duration limit) {
        return new HttpTableService(transport(base, limit, MAXIMUM_ANSWER_BYTES));
    }

    /**
     * Creates a client of the object store.
     *
     * @param base its URL, not null
     * @param limit the time limit of a call, not null
     * @return the client, not null
     */
    public ObjectStore objectStore(URI base, Duration limit) {
        return new HttpObjectStore(transport(base, limit, MAXIMUM_OBJECT_BYTES));
    }

    /**
     * Creates a client of the instance list.
     *
     * @param base its URL, not null
     * @param limit the time limit of a call, not null
     * @return the client, not null
     */
    public InstanceList instanceList(URI base, Duration limit) {
        return new HttpInstanceList(transport(base, limit, MAXIMUM_ANSWER_BYTES));
    }

    /**
     * Creates a client of a plain service's worker.
     *
     * @param base its URL, not null
     * @param limit the time limit of a call, not null
     * @return the client, not null
     */
    public PlainService plainService(URI base, Duration limit) {
        return new HttpPlainService(transport(base, limit, MAXIMUM_ANSWER_BYTES));
    }

    /**
     * Creates a client of a model engine.
     *
     * @param base its URL, not null
     * @param limits its time limits, not null
     * @return the client, not null
     */
    public ModelEngine modelEngine(URI base, EngineLimits limits) {
        return new HttpModelEngine(
                transport(base, limits.call(), MAXIMUM_ANSWER_BYTES),
                transport(base, limits.load(), MAXIMUM_ANSWER_BYTES),
                transport(base, limits.call(), MAXIMUM_ANSWER_BYTES),
                limits.silence(),
                timer);
    }

    private HttpTransport transport(URI base, Duration limit, int maximumAnswerBytes) {
        return new HttpTransport(base, limit, maximumAnswerBytes, executor);
    }

    @Override
    public void close() {
        timer.shutdownNow();
        executor.shutdownNow();
    }

    /**
     * The time limits of calls to an engine.
     *
     * @param call the limit of a call other than a load
     * @param load the limit of a load
     * @param silence the time without any byte after which a stream's connection is closed
     */
    public record EngineLimits(Duration call, Duration load, Duration silence) {

        public EngineLimits {
            requirePositive("call", call);
            requirePositive("load", load);
            requirePositive("silence", silence);
        }

        private static void requirePositive(String what, Duration limit) {
            if (limit.isNegative() || limit.isZero()) {
                throw new IllegalArgumentException("time limit of " + what + " not positive: " + limit);
            }
        }
    }
}
