package org.geraniumreach.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import io.netty.channel.nio.NioEventLoopGroup;
import org.geraniumreach.gateway.adapter.HolderRow;
import org.geraniumreach.gateway.adapter.Lease;
import org.geraniumreach.gateway.adapter.TargetOwnership;
import org.geraniumreach.gateway.cold.ColdStartLimiter;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.placement.TargetDescription;
import org.geraniumreach.gateway.placement.TargetRegistry;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.Slowdown;
import org.geraniumreach.gateway.process.ProcessSettings;
import org.geraniumreach.gateway.quota.Quotas;
import org.geraniumreach.gateway.speed.LearntTargetSpeeds;
import org.geraniumreach.gateway.speed.PaceSample;
import org.geraniumreach.gateway.speed.SpeedReport;
import org.geraniumreach.gateway.speed.TargetSpeed;
import org.geraniumreach.link.FrameHandler;
import org.geraniumreach.link.LinkNode;
import org.geraniumreach.link.LinkSettings;
import org.geraniumreach.link.Peer;
import org.geraniumreach.messages.AdapterChanges;
import org.geraniumreach.messages.AdapterDemand;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.Hello;
import org.geraniumreach.messages.TargetSpeedSample;
import org.geraniumreach.messages.TargetSpeedSamples;
import org.geraniumreach.messages.TargetSpeedUpdate;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.SoftwareVersion;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.testing.FreeAddresses;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class TargetSpeedLinksTest {

    private static final long TIMEOUT_SECONDS = 10;
    private static final long INCARNATION = 1;
    private static final long STARTED_AT = 7;
    private static final String OWNER = "two";
    private static final String OLDER = "zero";
    private static final TargetId ID = TargetId.of("t1");

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private final BlockingQueue<Frame> framesToOlder = new LinkedBlockingQueue<>();
    private Node sender;
    private Node owner;
    private LinkNode older;

    /** An entry that knows one target. */
    private final class Node {
        private final ProcessSettings settings;
        private final TargetRegistry registry = new TargetRegistry(MonotonicClock.system());
        private final LearntTargetSpeeds speeds;
        private final EntryLinks links;

        private Node(String name) throws Exception {
            settings = settings(name);
            Lease lease = new Lease(MonotonicClock.system(), System::currentTimeMillis);
            lease.onRenewed(lease.startRenewal(), 0);
            TargetOwnership ownership = new TargetOwnership(name, INCARNATION, lease, MonotonicClock.system());
            RowKey key = RowKey.of(TargetOwnership.FLEET_TABLE, "holder/" + ID.value());
            ownership.updateHolder(key.key(), Optional.of(new Row(key, 1, new HolderRow(OWNER, INCARNATION).toText())));
            speeds = new LearntTargetSpeeds(
                    ownership,
                    registry,
                    false,
                    (delay, action) -> Cancellable.NOOP,
                    MonotonicClock.system(),
                    (event, id, fields) -> {});
            registry.put(new TargetDescription(
                    ID,
                    STARTED_AT,
                    "service",
                    SoftwareVersion.of("v1"),
                    new InetSocketAddress("127.0.0.1", 9),
                    FailureDomain.of("domain"),
                    1,
                    false,
                    Optional.empty(),
                    Map.of()));
            links = EntryLinks.start(settings, INCARNATION, loops, new OpenListener(), (event, id, fields) -> {});
            TargetSpeedLinks.connect(speeds, links, (event, id, fields) -> events.add(event + " " + id));
        }

        private Target target() {
            return registry.find(ID).orElseThrow();
        }
    }

    @BeforeEach
    void open() throws Exception {
        sender = new Node("one");
        owner = new Node(OWNER);
        onLoop(() -> {
            sender.links.setOtherEntries(Map.of(OWNER, owner.settings.linkAddress()));
            return null;
        });
        awaitEvent("opened");
        awaitEvent("opened");
    }

    @AfterEach
    void close() {
        sender.links.close();
        owner.links.close();
        if (older != null) {
            older.close();
        }
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void awaitEvent(String start) throws InterruptedException {
        assertThat(events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).startsWith(start);
    }

    private <T> T onLoop(Callable<T> action) throws Exception {
        return loops.submit(action).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private TargetSpeed awaitKnown(Node node) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        TargetSpeed speed = TargetSpeed.UNKNOWN;
        while (!speed.known() && System.nanoTime() < deadline) {
            speed = onLoop(() -> node.speeds.speedOf(node.target()));
        }
        return speed;
    }

    private static ProcessSettings settings(String instance) throws IOException {
        return new ProcessSettings(
                instance,
                FailureDomain.of("domain"),
                FreeAddresses.next(),
                FreeAddresses.next(),
                FreeAddresses.next(),
                FreeAddresses.next(),
                new ProcessSettings.RepeatLimits(0, 0, Duration.ofSeconds(1)),
                new Quotas.Tolerance(0, 0, Duration.ofSeconds(1)),
                new ColdStartLimiter.Tolerance(1, 0),
                Duration.ofSeconds(5),
                1,
                Duration.ofSeconds(1),
                Set.of());
    }

    private static SpeedReport report() {
        Slowdown slowdown = new Slowdown(50);
        return new SpeedReport(
                List.of(new PaceSample(Duration.ofMillis(40))),
                Optional.of(new SpeedReport.Figure(slowdown, Duration.ZERO)));
    }

    @Test
    void theOwnerReceivesWhatAnotherEntryHasObserved() throws Exception {
        Frame frame = TargetSpeedLinks.toFrame(sender.target(), report());
        assertThat(onLoop(() -> sender.links.sendSpeed(OWNER, frame))).isTrue();
        TargetSpeed speed = awaitKnown(owner);
        assertThat(speed.known()).isTrue();
        assertThat(speed.slowdown()).isGreaterThan(1);
    }

    @Test
    void aPublishedRateIsInEffectAtTheOtherEntries() throws Exception {
        Frame frame = TargetSpeedLinks.toFrame(owner.target(), 0.5);
        onLoop(() -> {
            owner.links.sendSpeedToAll(frame);
            return null;
        });
        assertThat(awaitKnown(sender)).isEqualTo(new TargetSpeed(0.5, 1, true));
    }

    /** Guards against an entry that misses a rate since its link was not open when the rate was published. */
    @Test
    void theOwnerSendsItsRatesWhenALinkOpens() throws Exception {
        onLoop(() -> {
            owner.speeds.onPublished(ID, STARTED_AT, 0.5);
            sender.links.setOtherEntries(Map.of());
            return null;
        });
        onLoop(() -> {
            sender.links.setOtherEntries(Map.of(OWNER, owner.settings.linkAddress()));
            return null;
        });
        assertThat(awaitKnown(sender)).isEqualTo(new TargetSpeed(0.5, 1, true));
    }

    static Stream<Frame> malformedFrames() {
        return Stream.of(
                samples(0, 1, 0),
                samples(-1, 1, 0),
                samples(1, -1, 0),
                samples(1, Double.NaN, 0),
                samples(1, 1e9, 0),
                samples(1, 1, -1),
                update(0),
                update(-1),
                update(Double.NaN),
                update(Double.POSITIVE_INFINITY));
    }

    private static Frame samples(long intervalNanos, double slowdown, long ageNanos) {
        return Frame.newBuilder()
                .setTargetSpeedSamples(TargetSpeedSamples.newBuilder()
                        .setTarget(ID.value())
                        .setStartedAt(STARTED_AT)
                        .addSamples(TargetSpeedSample.newBuilder().setEventIntervalNanos(intervalNanos))
                        .setSlowdown(slowdown)
                        .setSlowdownAgeNanos(ageNanos))
                .build();
    }

    private static Frame update(double relativeRate) {
        return Frame.newBuilder()
                .setTargetSpeedUpdate(TargetSpeedUpdate.newBuilder()
                        .setTarget(ID.value())
                        .setStartedAt(STARTED_AT)
                        .setRelativeRate(relativeRate))
                .build();
    }

    /** Guards against decisions by a figure that makes no sense, and against a link that is closed because of it. */
    @ParameterizedTest
    @MethodSource("malformedFrames")
    void aMalformedMessageIsLoggedAndChangesNothing(Frame frame) throws Exception {
        onLoop(() -> sender.links.sendSpeed(OWNER, frame));
        awaitEvent("UNEXPECTED_FAILURE " + ID.value());
        assertThat(onLoop(() -> owner.speeds.speedOf(owner.target()))).isEqualTo(TargetSpeed.UNKNOWN);
        assertThat(onLoop(() -> sender.links.isConnected(OWNER))).isTrue();
    }

    /** Guards against closing the links to entries of the former version, which refuse unknown frames. */
    @Test
    void nothingIsSentToEntriesOfAnOlderVersion() throws Exception {
        Hello hello = Hello.newBuilder()
                .setProtocolVersion(4)
                .setInstance(OLDER)
                .setRole("entry")
                .setIncarnation(INCARNATION)
                .setFailureDomain("domain")
                .build();
        older = LinkNode.createOn(LinkSettings.defaults(), () -> hello, (event, detail) -> {}, loops);
        older.registerHandler(EnumSet.allOf(Frame.BodyCase.class), new OlderEntry());
        InetSocketAddress address = FreeAddresses.next();
        older.listen(address);
        onLoop(() -> {
            sender.links.setOtherEntries(Map.of(OWNER, owner.settings.linkAddress(), OLDER, address));
            return null;
        });
        awaitEvent("opened");
        Frame samples = TargetSpeedLinks.toFrame(sender.target(), report());
        assertThat(onLoop(() -> sender.links.sendSpeed(OLDER, samples))).isFalse();
        Frame known = Frame.newBuilder()
                .setAdapterDemand(AdapterDemand.getDefaultInstance())
                .build();
        onLoop(() -> {
            sender.links.sendSpeedToAll(update(1));
            return sender.links.send(OLDER, known);
        });
        assertThat(framesToOlder.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(known);
    }

    private final class OlderEntry implements FrameHandler {

        @Override
        public void onOpened(Peer peer) {
            // The other side reports that the link is open.
        }

        @Override
        public void onFrame(Peer peer, Frame frame) {
            framesToOlder.add(frame);
        }

        @Override
        public void onClosed(Peer peer, String reason) {
            // The test ends.
        }
    }

    private final class OpenListener implements EntryLinks.Listener {

        @Override
        public void onLinkOpened(String entry) {
            events.add("opened " + entry);
        }

        @Override
        public void onAdapterDemand(String entry, AdapterDemand demand) {
            events.add("demand of " + entry);
        }

        @Override
        public void onAdapterChanges(AdapterChanges changes) {
            events.add("adapters changed");
        }
    }
}
