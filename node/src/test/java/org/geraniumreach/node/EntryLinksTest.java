package org.geraniumreach.node;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import io.netty.channel.nio.NioEventLoopGroup;
import org.geraniumreach.gateway.cold.ColdStartLimiter;
import org.geraniumreach.gateway.port.StorePort;
import org.geraniumreach.gateway.process.ProcessSettings;
import org.geraniumreach.gateway.quota.Quotas;
import org.geraniumreach.gateway.store.FeedUpdate;
import org.geraniumreach.messages.AdapterChanges;
import org.geraniumreach.messages.AdapterDemand;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.QuotaRequest;
import org.geraniumreach.messages.QuotaResponse;
import org.geraniumreach.messages.TargetAdmissionEnd;
import org.geraniumreach.messages.TargetAdmissionRequest;
import org.geraniumreach.messages.TargetAdmissionResponse;
import org.geraniumreach.messages.TargetLimitRequest;
import org.geraniumreach.messages.TargetLimitResponse;
import org.geraniumreach.messages.TargetLimitUpdate;
import org.geraniumreach.messages.TargetSpeedSamples;
import org.geraniumreach.messages.TargetSpeedUpdate;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.testing.FreeAddresses;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class EntryLinksTest {

    private static final long TIMEOUT_SECONDS = 10;

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final BlockingQueue<String> received = new LinkedBlockingQueue<>();
    private EntryLinks firstLinks;
    private EntryLinks secondLinks;

    @BeforeEach
    void open() throws Exception {
        ProcessSettings firstSettings = settings("one");
        ProcessSettings secondSettings = settings("two");
        firstLinks = EntryLinks.start(firstSettings, 1, loops, new Recorder(), (event, id, fields) -> {});
        secondLinks = EntryLinks.start(secondSettings, 1, loops, new Recorder(), (event, id, fields) -> {});
        secondLinks.onFeedUpdate(update -> received.add("feed update " + update.table()));
        secondLinks.onQuota(
                (entry, request) -> received.add("quota request of " + entry),
                response -> received.add("quota response " + response.getNumber()));
        secondLinks.onTargetAdmission(
                (entry, request) -> received.add("admission request of " + entry),
                response -> received.add("admission response " + response.getNumber()));
        secondLinks.onOrderedAdmission(new EntryLinks.OrderedAdmissionHandler(
                (entry, response) -> received.add("ordered response of " + entry),
                (entry, end) -> received.add("admission end of " + entry),
                entry -> {}));
        secondLinks.onLimit(new EntryLinks.LimitHandler(
                entry -> {},
                (entry, request) -> received.add("limit request of " + entry),
                response -> received.add("limit response " + response.getNumber()),
                known -> received.add("limit of " + known.getTarget())));
        secondLinks.onSpeed(new EntryLinks.SpeedHandler(
                entry -> {},
                update -> received.add("speed of " + update.getTarget()),
                samples -> received.add("samples of " + samples.getTarget())));
        loops.submit(() -> firstLinks.setOtherEntries(Map.of("two", secondSettings.linkAddress())))
                .sync();
        assertThat(received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).startsWith("opened");
        assertThat(received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).startsWith("opened");
    }

    @AfterEach
    void close() {
        firstLinks.close();
        secondLinks.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
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

    static Stream<Frame> frames() {
        FeedUpdate update =
                new FeedUpdate.Changes(StorePort.Table.TARGETS, 1, new StorePort.Page(List.of(), 1, false, 1));
        return Stream.of(
                Frame.newBuilder()
                        .setAdapterDemand(AdapterDemand.getDefaultInstance())
                        .build(),
                Frame.newBuilder()
                        .setAdapterChanges(AdapterChanges.getDefaultInstance())
                        .build(),
                FeedUpdates.toFrame(update),
                Frame.newBuilder()
                        .setQuotaRequest(QuotaRequest.getDefaultInstance())
                        .build(),
                Frame.newBuilder()
                        .setQuotaResponse(QuotaResponse.getDefaultInstance())
                        .build(),
                Frame.newBuilder()
                        .setTargetAdmissionRequest(TargetAdmissionRequest.getDefaultInstance())
                        .build(),
                Frame.newBuilder()
                        .setTargetAdmissionResponse(TargetAdmissionResponse.getDefaultInstance())
                        .build(),
                Frame.newBuilder()
                        .setTargetAdmissionEnd(TargetAdmissionEnd.getDefaultInstance())
                        .build(),
                Frame.newBuilder()
                        .setTargetLimitRequest(TargetLimitRequest.getDefaultInstance())
                        .build(),
                Frame.newBuilder()
                        .setTargetLimitResponse(TargetLimitResponse.getDefaultInstance())
                        .build(),
                Frame.newBuilder()
                        .setTargetLimitUpdate(TargetLimitUpdate.getDefaultInstance())
                        .build(),
                Frame.newBuilder()
                        .setTargetSpeedUpdate(TargetSpeedUpdate.getDefaultInstance())
                        .build(),
                Frame.newBuilder()
                        .setTargetSpeedSamples(TargetSpeedSamples.getDefaultInstance())
                        .build());
    }

    /** Guards against a kind of frame that is sent but has no handler at the receiving entry. */
    @ParameterizedTest
    @MethodSource("frames")
    void everyKindOfFrameReachesItsHandler(Frame frame) throws Exception {
        loops.submit(() -> firstLinks.sendFeedOrQuota("two", frame)).sync();
        assertThat(received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isNotNull();
    }

    private final class Recorder implements EntryLinks.Listener {

        @Override
        public void onLinkOpened(String entry) {
            received.add("opened " + entry);
        }

        @Override
        public void onAdapterDemand(String entry, AdapterDemand demand) {
            received.add("demand of " + entry);
        }

        @Override
        public void onAdapterChanges(AdapterChanges changes) {
            received.add("adapters changed");
        }
    }
}
