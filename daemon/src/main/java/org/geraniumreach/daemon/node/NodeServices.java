package org.geraniumreach.daemon.node;

import java.io.IOException;
import java.security.SecureRandom;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.geraniumreach.daemon.configuration.ConfigurationSettings;
import org.geraniumreach.daemon.configuration.ReplicatedConfiguration;
import org.geraniumreach.daemon.event.EventLog;
import org.geraniumreach.daemon.http.HttpLimits;
import org.geraniumreach.daemon.http.HttpListener;
import org.geraniumreach.daemon.membership.LinkedMembership;
import org.geraniumreach.daemon.membership.MembershipSettings;
import org.geraniumreach.daemon.metrics.NodeMetrics;
import org.geraniumreach.daemon.settings.SettingsException;
import org.geraniumreach.daemon.settings.SettingsReader;
import org.geraniumreach.link.LinkNode;
import org.geraniumreach.link.LinkSettings;
import org.geraniumreach.messages.Hello;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.ports.InstanceList;
import org.geraniumreach.ports.ObjectStore;
import org.geraniumreach.ports.TableService;
import org.geraniumreach.standalone.PlatformClients;

/**
 * The services that every process of the system uses: links, clients of the platform, membership and configuration.
 *
 * <p>Invariant: the link address is bound before the instance list is read, so that every process that finds this
 * instance on the list can connect to it. Safe for use by several threads.
 */
public final class NodeServices implements AutoCloseable {

    private static final int PROTOCOL_VERSION = 1;
    private static final int PLATFORM_THREADS = 2;
    private static final int TIMER_THREADS = 2;
    private static final int MAXIMUM_BLOCKING_THREADS = 64;
    private static final long BLOCKING_THREAD_IDLE_SECONDS = 10;
    private static final long MICROS_PER_MILLI = 1_000;

    private final Settings settings;
    private final InstanceId instance;
    private final long incarnation;
    private final MonotonicClock clock = MonotonicClock.system();
    private final SecureRandom random = new SecureRandom();
    private final NodeMetrics metrics = new NodeMetrics();
    private final LinkSettings linkSettings;
    private final PlatformClients clients = PlatformClients.create(PLATFORM_THREADS);
    private final TableService table;
    private final ScheduledThreadPoolExecutor timer =
            new ScheduledThreadPoolExecutor(TIMER_THREADS, threadFactory("timer"));
    private final ExecutorService blocking = new ThreadPoolExecutor(
            0,
            MAXIMUM_BLOCKING_THREADS,
            BLOCKING_THREAD_IDLE_SECONDS,
            TimeUnit.SECONDS,
            new SynchronousQueue<>(),
            threadFactory("blocking"));
    private LinkNode links;
    private LinkedMembership membership;
    private ReplicatedConfiguration configuration;
    private HttpListener management;

    private NodeServices(Settings settings) {
        this.settings = settings;
        this.instance = InstanceId.of(settings.node().instance());
        this.incarnation = System.currentTimeMillis() * MICROS_PER_MILLI + random.nextInt((int) MICROS_PER_MILLI);
        this.linkSettings = settings.links().toLinkSettings();
        this.table = clients.tableService(
                PlatformSettings.uri(settings.platform().table()),
                settings.platform().callLimit());
        timer.setRemoveOnCancelPolicy(true);
    }

    /**
     * The settings of these services.
     *
     * @param role the role of the process
     * @param node the identity and addresses of the instance
     * @param platform the addresses of the platform's services
     * @param links the links to other instances
     * @param membership the membership
     * @param configuration the replicated configuration
     */
    public record Settings(
            NodeRole role,
            NodeSettings node,
            PlatformSettings platform,
            LinkTuning links,
            MembershipSettings membership,
            ConfigurationSettings configuration) {}

    /**
     * The fields that a role adds to the Hello message.
     *
     * @param target the target of a companion, empty for an entry
     * @param fence supplies the fencing token of a companion, 0 for an entry
     */
    public record RoleHello(Optional<String> target, LongSupplier fence) {

        /**
         * Obtains the addition of an entry, which is empty.
         *
         * @return the addition, not null
         */
        public static RoleHello none() {
            return new RoleHello(Optional.empty(), () -> 0);
        }
    }

    /**
     * Starts links, membership and configuration.
     *
     * @param settings the settings, not null
     * @param roleHello the fields that the role adds to the Hello message, not null
     * @return the started services, not null
     * @throws IOException if an address cannot be bound
     */
    public static NodeServices start(Settings settings, RoleHello roleHello) throws IOException {
        FailureDomain.of(settings.node().failureDomain());
        NodeServices services = new NodeServices(settings);
        try {
            services.startLinks(roleHello);
        } catch (IOException failure) {
            services.close();
            throw failure;
        }
        return services;
    }

    private void startLinks(RoleHello roleHello) throws IOException {
        links = LinkNode.create(
                linkSettings, () -> hello(roleHello), (event, detail) -> EventLog.write(event, "{}", detail));
        links.listen(settings.node().link());
        InstanceList list = clients.instanceList(
                PlatformSettings.uri(settings.platform().list()),
                settings.platform().callLimit());
        membership = LinkedMembership.start(hello(roleHello), settings.membership(), list, links, clock);
        configuration = ReplicatedConfiguration.start(
                instance, settings.configuration(), table, links, membership, clock, random);
    }

    private Hello hello(RoleHello roleHello) {
        Hello.Builder hello = Hello.newBuilder()
                .setProtocolVersion(PROTOCOL_VERSION)
                .setInstance(instance.value())
                .setRole(settings.role().label())
                .setIncarnation(incarnation)
                .setFailureDomain(settings.node().failureDomain())
                .setFence(roleHello.fence().getAsLong())
                .setRevision(configuration == null ? 0 : configuration.current().revision());
        roleHello.target().ifPresent(hello::setTarget);
        return hello.build();
    }

    /**
     * Starts the HTTP listener for health, readiness and metrics.
     *
     * @param reasonNotReady supplies why the process is not ready, empty if it is ready, not null
     * @throws IOException if the address cannot be bound
     */
    public void startManagement(Supplier<Optional<String>> reasonNotReady) throws IOException {
        ManagementEndpoints endpoints = new ManagementEndpoints(metrics, reasonNotReady);
        management = HttpListener.start(
                "management", managementLimits(), settings.node().management(), endpoints.routes(), blocking);
    }

    private static HttpLimits managementLimits() {
        try {
            return SettingsReader.read(HttpLimits.class, "{body: 1KiB, workers: 1}");
        } catch (SettingsException impossible) {
            throw new IllegalStateException("the limits of the management address are wrong", impossible);
        }
    }

    private static ThreadFactory threadFactory(String name) {
        return task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        };
    }

    public InstanceId instance() {
        return instance;
    }

    public long incarnation() {
        return incarnation;
    }

    public MonotonicClock clock() {
        return clock;
    }

    public SecureRandom random() {
        return random;
    }

    public NodeMetrics metrics() {
        return metrics;
    }

    public LinkSettings linkSettings() {
        return linkSettings;
    }

    public LinkNode links() {
        return links;
    }

    public LinkedMembership membership() {
        return membership;
    }

    public ReplicatedConfiguration configuration() {
        return configuration;
    }

    public TableService table() {
        return table;
    }

    public PlatformClients clients() {
        return clients;
    }

    /**
     * Gets the object store's client.
     *
     * @return the client, not null
     */
    public ObjectStore objects() {
        return clients.objectStore(
                PlatformSettings.uri(settings.platform().objects()),
                settings.platform().callLimit());
    }

    /**
     * Gets the executor for delayed tasks, which must not block.
     *
     * @return the timer, not null
     */
    public ScheduledThreadPoolExecutor timer() {
        return timer;
    }

    /**
     * Gets the executor for blocking tasks.
     *
     * @return the executor, which rejects tasks when all its threads are busy, not null
     */
    public ExecutorService blocking() {
        return blocking;
    }

    @Override
    public void close() {
        if (management != null) {
            management.close();
        }
        if (configuration != null) {
            configuration.close();
            membership.close();
        }
        if (links != null) {
            links.close();
        }
        timer.shutdownNow();
        blocking.shutdownNow();
        clients.close();
    }
}
