package org.geraniumreach.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.nio.NioEventLoopGroup;
import org.geraniumreach.gateway.adapter.Lease;
import org.geraniumreach.gateway.adapter.TargetOwnership;
import org.geraniumreach.gateway.admission.AdmissionRequest;
import org.geraniumreach.gateway.admission.AdmissionSettings;
import org.geraniumreach.gateway.admission.TargetQueues;
import org.geraniumreach.gateway.cold.ColdStartLimiter;
import org.geraniumreach.gateway.pacing.OrderedAdmission;
import org.geraniumreach.gateway.pacing.OrderedAdmissionPeers;
import org.geraniumreach.gateway.pacing.OwnerAdmission;
import org.geraniumreach.gateway.pacing.TargetAdmission.Admission;
import org.geraniumreach.gateway.pacing.TargetAdmission.Decision;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.placement.TargetDescription;
import org.geraniumreach.gateway.placement.TargetRegistry;
import org.geraniumreach.gateway.port.Timers;
import org.geraniumreach.gateway.process.ProcessSettings;
import org.geraniumreach.gateway.quota.Quotas;
import org.geraniumreach.link.FrameHandler;
import org.geraniumreach.link.LinkNode;
import org.geraniumreach.link.LinkSettings;
import org.geraniumreach.link.Peer;
import org.geraniumreach.messages.AdapterChanges;
import org.geraniumreach.messages.AdapterDemand;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.Hello;
import org.geraniumreach.messages.TargetAdmissionRequest;
import org.geraniumreach.messages.TargetAdmissionResponse;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.SoftwareVersion;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.Transaction;
import org.geraniumreach.model.testing.FreeAddresses;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Links an entry to another that owns the target and speaks an earlier or the same version of the protocol. */
class OrderedAdmissionLinksTest {

    private static final TargetId ID = TargetId.of("t1");
    private static final int ORDER_VERSION = 5;
    private static final long TIMEOUT_SECONDS = 10;
    private static final Duration SILENCE = Duration.ofMillis(300);

    private final MonotonicClock clock = MonotonicClock.system();
    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final Timers timers = new EventLoopTimers(loops.next(), (event, subject, fields) -> {});
    private final BlockingQueue<Frame> receivedByOwner = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> opened = new LinkedBlockingQueue<>();
    private final BlockingQueue<Decision> decisions = new LinkedBlockingQueue<>();
    private final TargetRegistry registry = new TargetRegistry(clock);
    private final TargetOwnership ownership = new TargetOwnership("one", 1, leaseInForce(), clock);
    private EntryLinks links;
    private LinkNode ownerNode;
    private OrderedAdmission admission;

    private Lease leaseInForce() {
        Lease lease = new Lease(clock, System::currentTimeMillis);
        lease.onRenewed(lease.startRenewal(), 0);
        return lease;
    }

    @AfterEach
    void close() {
        links.close();
        ownerNode.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void open(int ownerVersion) throws Exception {
        links = EntryLinks.start(settings(), 1, loops, new OpenRecorder(), (event, id, fields) -> {});
        ownerNode = LinkNode.createOn(
                LinkSettings.defaults(),
                () -> Hello.newBuilder()
                        .setProtocolVersion(ownerVersion)
                        .setInstance("two")
                        .setRole("entry")
                        .setIncarnation(1)
                        .build(),
                (event, detail) -> {},
                loops);
        ownerNode.registerHandler(
                EnumSet.of(Frame.BodyCase.TARGET_ADMISSION_REQUEST, Frame.BodyCase.TARGET_ADMISSION_END),
                new OwnerRecorder());
        InetSocketAddress ownerAddress = FreeAddresses.next();
        ownerNode.listen(ownerAddress);
        TargetQueues queues = new TargetQueues(
                ownership,
                registry,
                new TargetQueues.Capacity(
                        target -> 20,
                        target -> new AdmissionSettings(
                                OptionalInt.empty(), OptionalLong.empty(), Duration.ofSeconds(5))),
                timers,
                clock,
                (event, id, fields) -> {},
                (urgency, result) -> {});
        OwnerAdmission unordered = new OwnerAdmission(
                ownership, registry, service -> 20, (entry, number, target, tokens, delay) -> false, timers, clock);
        DeferredPeers peers = new DeferredPeers();
        admission = new OrderedAdmission(
                unordered, queues, ownership, peers, (target, tokens) -> Duration.ZERO, timers, clock);
        peers.links = new OrderedAdmissionLinks(admission, queues, new TargetAdmissionLinks(unordered, links), links);
        registry.put(new TargetDescription(
                ID,
                1,
                "service",
                SoftwareVersion.of("v1"),
                FreeAddresses.next(),
                FailureDomain.of("here"),
                64,
                false,
                Optional.empty(),
                Map.of()));
        setOwner();
        loops.submit(() -> links.setOtherEntries(Map.of("two", ownerAddress))).sync();
        assertThat(opened.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo("two");
    }

    private void setOwner() {
        Transaction claim = new TargetOwnership("two", 1, leaseInForce(), clock)
                .claim(List.of(ID), List.of("two"), entry -> true)
                .orElseThrow();
        Transaction.Write write = claim.writes().get(0);
        ownership.updateHolder(
                write.key().key(),
                Optional.of(new Row(write.key(), 5, write.value().orElseThrow())));
    }

    private static ProcessSettings settings() throws IOException {
        return new ProcessSettings(
                "one",
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

    private Admission request() throws Exception {
        Target target = registry.find(ID).orElseThrow();
        AdmissionRequest request =
                new AdmissionRequest(3, Optional.empty(), 0, 100, 50, Duration.ofMillis(500), Duration.ofMillis(300));
        return loops.submit(() -> admission.request(target, "a", request, decisions::add))
                .get();
    }

    private TargetAdmissionRequest nextRequest() throws InterruptedException {
        return receivedByOwner.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS).getTargetAdmissionRequest();
    }

    private void answer(TargetAdmissionResponse.Builder response) {
        ownerNode
                .find(InstanceId.of("one"))
                .orElseThrow()
                .send(Frame.newBuilder().setTargetAdmissionResponse(response).build());
    }

    /** Guards against frames that an entry of an earlier version does not know, for which it closes the link. */
    @ParameterizedTest
    @ValueSource(ints = {ORDER_VERSION - 1, ORDER_VERSION})
    void anOwnerGetsOnlyWhatItsVersionKnows(int version) throws Exception {
        open(version);
        Admission requested = request();
        TargetAdmissionRequest request = nextRequest();
        assertThat(request.getOrdered()).isEqualTo(version == ORDER_VERSION);
        assertThat(request.getPromptTokens()).isEqualTo(100);
        answer(TargetAdmissionResponse.newBuilder()
                .setNumber(request.getNumber())
                .setAdmitted(true)
                .setOutcome(
                        version == ORDER_VERSION
                                ? TargetAdmissionResponse.Outcome.ADMITTED
                                : TargetAdmissionResponse.Outcome.UNSPECIFIED));
        assertThat(decisions.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(Decision.IMMEDIATE);
        loops.submit(requested::end).sync();
        Frame end = receivedByOwner.poll(
                version == ORDER_VERSION ? TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS) : SILENCE.toMillis(),
                TimeUnit.MILLISECONDS);
        assertThat(end != null).isEqualTo(version == ORDER_VERSION);
    }

    /** Guards against rejections that lose the time to return on their way. */
    @Test
    void aRejectionIsReadAsItWasSent() throws Exception {
        open(ORDER_VERSION);
        request();
        answer(TargetAdmissionResponse.newBuilder()
                .setNumber(nextRequest().getNumber())
                .setOutcome(TargetAdmissionResponse.Outcome.REJECTED)
                .setReason(TargetAdmissionResponse.Reason.DISPLACED)
                .setRetryAfterNanos(Duration.ofMillis(900).toNanos())
                .setLessUrgentWait(true));
        Decision decision = decisions.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertThat(decision.admitted()).isFalse();
        assertThat(decision.rejection().orElseThrow().retryAfter()).isEqualTo(Duration.ofMillis(900));
        assertThat(decision.rejection().orElseThrow().lessUrgentWait()).isTrue();
    }

    /** Sends over links that are created after the admission. */
    private static final class DeferredPeers implements OrderedAdmissionPeers {
        private OrderedAdmissionLinks links;

        @Override
        public boolean requestAdmission(
                String entry, long number, TargetId target, String requestId, AdmissionRequest request) {
            return links.requestAdmission(entry, number, target, requestId, request);
        }

        @Override
        public void endAdmission(String entry, long number, TargetId target) {
            links.endAdmission(entry, number, target);
        }
    }

    private final class OwnerRecorder implements FrameHandler {

        @Override
        public void onOpened(Peer peer) {
            // The entry reports when its side is open.
        }

        @Override
        public void onFrame(Peer peer, Frame frame) {
            receivedByOwner.add(frame);
        }

        @Override
        public void onClosed(Peer peer, String reason) {
            // Nothing is reconnected here.
        }
    }

    private final class OpenRecorder implements EntryLinks.Listener {

        @Override
        public void onLinkOpened(String entry) {
            opened.add(entry);
        }

        @Override
        public void onAdapterDemand(String entry, AdapterDemand demand) {
            // No adapters here.
        }

        @Override
        public void onAdapterChanges(AdapterChanges changes) {
            // No adapters here.
        }
    }
}
