package org.geraniumreach.daemon.companion;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import org.geraniumreach.daemon.companion.CompanionProcessSettings.TargetSettings;
import org.geraniumreach.daemon.event.EventLog;
import org.geraniumreach.daemon.node.Daemon;
import org.geraniumreach.daemon.node.NodeServices;
import org.geraniumreach.daemon.node.PlatformSettings;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.ports.ModelEngine;
import org.geraniumreach.ports.PlainService;
import org.geraniumreach.standalone.PlatformClients;

/**
 * The process of a companion: the companion node and the services that it uses.
 *
 * <p>Safe for use by several threads.
 */
public final class CompanionDaemon implements Daemon {

    private final CompanionProcessSettings settings;
    private final NodeServices foundation;
    private final CompanionNode node;

    private CompanionDaemon(CompanionProcessSettings settings, NodeServices foundation, CompanionNode node) {
        this.settings = settings;
        this.foundation = foundation;
        this.node = node;
    }

    /**
     * Starts a companion.
     *
     * @param settings the settings, not null
     * @return the running companion, not null
     * @throws IOException if a socket cannot be bound
     */
    public static CompanionDaemon start(CompanionProcessSettings settings) throws IOException {
        AtomicReference<CompanionNode> started = new AtomicReference<>();
        NodeServices.RoleHello hello = new NodeServices.RoleHello(
                Optional.of(settings.target().name()), () -> Optional.ofNullable(started.get())
                        .map(CompanionNode::fence)
                        .orElse(0L));
        NodeServices foundation = NodeServices.start(settings.toFoundationSettings(), hello);
        CompanionNode node = CompanionNode.create(settings.companion(), dependencies(settings.target(), foundation));
        started.set(node);
        node.start();
        foundation.startManagement(node::reasonNotReady);
        EventLog.write(
                EventCode.STARTING,
                "companion {} of {}",
                foundation.instance(),
                settings.target().name());
        return new CompanionDaemon(settings, foundation, node);
    }

    private static CompanionDependencies dependencies(TargetSettings target, NodeServices foundation) {
        URI address = PlatformSettings.uri(target.address());
        Optional<ModelEngine> engine = Optional.empty();
        Optional<PlainService> service = Optional.empty();
        if (target.kind() == TargetSettings.Kind.ENGINE) {
            engine = Optional.of(foundation
                    .clients()
                    .modelEngine(
                            address,
                            new PlatformClients.EngineLimits(
                                    target.callLimit(), target.loadLimit(), target.silence())));
        } else {
            service = Optional.of(foundation.clients().plainService(address, target.serviceLimit()));
        }
        return new CompanionDependencies(
                foundation.instance(),
                foundation.incarnation(),
                TargetId.of(target.name()),
                foundation.links(),
                foundation.configuration(),
                foundation.table(),
                engine,
                service,
                foundation.clock(),
                InstantSource.system());
    }

    @Override
    public void drain() {
        node.drain();
        foundation.membership().announceLeaving();
    }

    @Override
    public int runningRequests() {
        return node.unfinished();
    }

    @Override
    public Duration drainLimit() {
        return settings.node().drainLimit();
    }

    @Override
    public void close() {
        node.close();
        foundation.close();
    }
}
