package org.geraniumreach.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import io.netty.channel.EventLoopGroup;
import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.process.ProcessSettings;
import org.geraniumreach.gateway.store.FeedUpdate;
import org.geraniumreach.link.FrameHandler;
import org.geraniumreach.link.LinkNode;
import org.geraniumreach.link.LinkSettings;
import org.geraniumreach.link.Peer;
import org.geraniumreach.messages.AdapterChanges;
import org.geraniumreach.messages.AdapterDemand;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.Hello;
import org.geraniumreach.messages.QuotaRequest;
import org.geraniumreach.messages.QuotaResponse;
import org.geraniumreach.messages.StreamOriginRequest;
import org.geraniumreach.messages.StreamOriginResponse;
import org.geraniumreach.messages.StreamRecords;
import org.geraniumreach.messages.StreamRecordsReceived;
import org.geraniumreach.messages.SuspectUpdates;
import org.geraniumreach.messages.TargetAdmissionEnd;
import org.geraniumreach.messages.TargetAdmissionRequest;
import org.geraniumreach.messages.TargetAdmissionResponse;
import org.geraniumreach.messages.TargetLimit;
import org.geraniumreach.messages.TargetLimitRequest;
import org.geraniumreach.messages.TargetLimitResponse;
import org.geraniumreach.messages.TargetSpeedSamples;
import org.geraniumreach.messages.TargetSpeedUpdate;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.InstanceId;

/**
 * The links of this entry to the other entries.
 *
 * <p>Invariant: of two entries, the one whose instance sorts first opens the link. Confined to the event loop, on which the links
 * run as well.
 */
final class EntryLinks implements FrameHandler, AutoCloseable {

    private static final int PROTOCOL_VERSION = 7;

    /** The first version with feed updates and quota requests; entries of earlier versions close the link on an unknown frame. */
    private static final int FEED_AND_QUOTA_VERSION = 2;

    /** The first version in which the owners of targets pace prompts. */
    private static final int ADMISSION_VERSION = 3;

    /** The first version in which the owners of targets keep the requests of all entries within the targets' limits. */
    private static final int LIMIT_VERSION = 4;

    /** The first version in which the owners of targets learn their speeds from all entries. */
    private static final int SPEED_VERSION = 5;

    /** The first version in which the owners of targets order the requests of all entries. */
    private static final int ADMISSION_ORDER_VERSION = 5;

    /** The first version in which entries remember what began the streams of others. */
    private static final int STREAM_VERSION = 6;

    /** The first version in which entries tell each other under which requests targets have ended. */
    private static final int SUSPECT_VERSION = 7;

    /**
     * Long, since heartbeats are most of the frames between many entries, and the targets of a lost entry are taken over only after
     * its lease has expired, which takes much longer.
     */
    private static final Duration PING_INTERVAL = Duration.ofSeconds(1);

    private static final int MAX_UNANSWERED_PINGS = 2;

    /** Short, since a restarted entry can do little until its links are open, half of which the other entries open. */
    private static final Duration MAX_BACKOFF = Duration.ofMillis(400);

    private final LinkNode linkNode;
    private final String self;
    private final Listener listener;
    private final DecisionLog log;
    private final String failureDomain;
    private final Map<String, InetSocketAddress> knownAddresses = new HashMap<>();
    private Consumer<FeedUpdate> feedUpdates = update -> {};
    private BiConsumer<String, QuotaRequest> quotaRequests = (entry, request) -> {};
    private Consumer<QuotaResponse> quotaResponses = response -> {};
    private BiConsumer<String, TargetAdmissionRequest> admissionRequests = (entry, request) -> {};
    private Consumer<TargetAdmissionResponse> admissionResponses = response -> {};
    private OrderedAdmissionHandler orderedAdmissionHandler =
            new OrderedAdmissionHandler((entry, response) -> {}, (entry, end) -> {}, entry -> {});
    private LimitHandler limitHandler =
            new LimitHandler(entry -> {}, (entry, request) -> {}, response -> {}, known -> {});

    private SpeedHandler speedHandler = new SpeedHandler(entry -> {}, update -> {}, samples -> {});
    private SuspectHandler suspectHandler = new SuspectHandler(entry -> {}, updates -> {});
    private StreamHandler streamHandler = new StreamHandler(
            entry -> {}, (entry, records) -> {}, received -> {}, (entry, request) -> {}, response -> {});

    /** Receives the adapter messages of other entries. */
    interface Listener {

        void onLinkOpened(String entry);

        void onAdapterDemand(String entry, AdapterDemand demand);

        void onAdapterChanges(AdapterChanges changes);
    }

    /**
     * The handlers of messages about targets that name a limit.
     *
     * @param onLinkOpened called when a link to an entry that knows these messages has opened
     * @param onRequest receives requests with the sending entry
     * @param onResponse receives responses
     * @param onUpdate receives what other entries know
     */
    record LimitHandler(
            Consumer<String> onLinkOpened,
            BiConsumer<String, TargetLimitRequest> onRequest,
            Consumer<TargetLimitResponse> onResponse,
            Consumer<TargetLimit> onUpdate) {}

    /**
     * The handlers of messages about the speeds of targets.
     *
     * @param onLinkOpened called when a link to an entry that knows these messages has opened
     * @param onUpdate receives the rates that the owners of targets publish
     * @param onSamples receives what other entries have observed
     */
    record SpeedHandler(
            Consumer<String> onLinkOpened,
            Consumer<TargetSpeedUpdate> onUpdate,
            Consumer<TargetSpeedSamples> onSamples) {}

    /**
     * The handlers of messages about the origins of streams.
     *
     * @param onLinkOpened called when a link to an entry that knows these messages has opened
     * @param onRecords receives records with the sending entry
     * @param onReceived receives acknowledgements
     * @param onRequest receives requests with the sending entry
     * @param onResponse receives responses
     */
    record StreamHandler(
            Consumer<String> onLinkOpened,
            BiConsumer<String, StreamRecords> onRecords,
            Consumer<StreamRecordsReceived> onReceived,
            BiConsumer<String, StreamOriginRequest> onRequest,
            Consumer<StreamOriginResponse> onResponse) {}

    /**
     * The handlers of messages about requests under which targets have ended.
     *
     * @param onLinkOpened called when a link to an entry that knows these messages has opened
     * @param onUpdates receives what other entries know
     */
    record SuspectHandler(Consumer<String> onLinkOpened, Consumer<SuspectUpdates> onUpdates) {}

    /**
     * The handlers of messages about ordered admission.
     *
     * @param onResponse receives all admission responses with the sending entry
     * @param onEnd receives the ends of requests with the sending entry
     * @param onLinkClosed called when the link to an entry has closed
     */
    record OrderedAdmissionHandler(
            BiConsumer<String, TargetAdmissionResponse> onResponse,
            BiConsumer<String, TargetAdmissionEnd> onEnd,
            Consumer<String> onLinkClosed) {}

    private EntryLinks(
            ProcessSettings settings, long incarnation, EventLoopGroup loops, Listener listener, DecisionLog log) {
        this.self = settings.instance();
        this.failureDomain = settings.failureDomain().value();
        this.listener = Objects.requireNonNull(listener, "listener");
        this.log = Objects.requireNonNull(log, "log");
        Hello hello = Hello.newBuilder()
                .setProtocolVersion(PROTOCOL_VERSION)
                .setInstance(self)
                .setRole("entry")
                .setIncarnation(incarnation)
                .setFailureDomain(failureDomain)
                .build();
        this.linkNode = LinkNode.createOn(
                LinkSettings.defaults()
                        .withPings(PING_INTERVAL, MAX_UNANSWERED_PINGS)
                        .withGreatestBackoff(MAX_BACKOFF),
                () -> hello,
                (event, detail) -> log.write(event, "", Field.of("detail", detail)),
                loops);
    }

    static EntryLinks start(
            ProcessSettings settings, long incarnation, EventLoopGroup loops, Listener listener, DecisionLog log)
            throws IOException {
        EntryLinks entryLinks = new EntryLinks(settings, incarnation, loops, listener, log);
        entryLinks.linkNode.registerHandler(
                EnumSet.of(
                        Frame.BodyCase.ADAPTER_DEMAND,
                        Frame.BodyCase.ADAPTER_CHANGES,
                        Frame.BodyCase.FEED_UPDATE,
                        Frame.BodyCase.QUOTA_REQUEST,
                        Frame.BodyCase.QUOTA_RESPONSE,
                        Frame.BodyCase.TARGET_ADMISSION_REQUEST,
                        Frame.BodyCase.TARGET_ADMISSION_RESPONSE,
                        Frame.BodyCase.TARGET_ADMISSION_END,
                        Frame.BodyCase.TARGET_LIMIT_REQUEST,
                        Frame.BodyCase.TARGET_LIMIT_RESPONSE,
                        Frame.BodyCase.TARGET_LIMIT_UPDATE,
                        Frame.BodyCase.TARGET_SPEED_UPDATE,
                        Frame.BodyCase.TARGET_SPEED_SAMPLES,
                        Frame.BodyCase.STREAM_RECORDS,
                        Frame.BodyCase.STREAM_RECORDS_RECEIVED,
                        Frame.BodyCase.STREAM_ORIGIN_REQUEST,
                        Frame.BodyCase.STREAM_ORIGIN_RESPONSE,
                        Frame.BodyCase.SUSPECT_UPDATES),
                entryLinks);
        entryLinks.linkNode.listen(settings.linkAddress());
        return entryLinks;
    }

    /** Sets the other entries, by instance, that links are kept open to. */
    void setOtherEntries(Map<String, InetSocketAddress> entries) {
        Set<String> removed = new HashSet<>(knownAddresses.keySet());
        removed.removeAll(entries.keySet());
        removed.forEach(entry -> linkNode.release(InstanceId.of(entry)));
        knownAddresses.keySet().removeAll(removed);
        entries.forEach((entry, address) -> {
            if (self.compareTo(entry) < 0 && !address.equals(knownAddresses.get(entry))) {
                linkNode.keep(InstanceId.of(entry), address);
            }
            knownAddresses.put(entry, address);
        });
    }

    /** Checks whether a link to an entry is open. */
    boolean isConnected(String entry) {
        return linkNode.find(InstanceId.of(entry)).isPresent();
    }

    /** Sends a frame to an entry; returns whether it was sent. */
    boolean send(String entry, Frame frame) {
        Optional<Peer> peer = linkNode.find(InstanceId.of(entry));
        return peer.isPresent() && peer.get().send(frame);
    }

    /** Sends a frame about feeds or quotas; not sent to entries whose version does not know it. */
    boolean sendFeedOrQuota(String entry, Frame frame) {
        return sendIfVersionAtLeast(FEED_AND_QUOTA_VERSION, entry, frame);
    }

    /** Sends a frame about the pacing of prompts; not sent to entries whose version does not know it. */
    boolean sendAdmission(String entry, Frame frame) {
        return sendIfVersionAtLeast(ADMISSION_VERSION, entry, frame);
    }

    /** Checks whether a link is open to an entry whose version orders the requests for targets. */
    boolean ordersAdmissions(String entry) {
        return linkNode.find(InstanceId.of(entry))
                .filter(peer -> isVersionAtLeast(ADMISSION_ORDER_VERSION, peer))
                .isPresent();
    }

    /** Sends the end of an admission; not sent to entries whose version does not know it. */
    boolean sendAdmissionEnd(String entry, Frame frame) {
        return sendIfVersionAtLeast(ADMISSION_ORDER_VERSION, entry, frame);
    }

    /** Sends a frame about targets that name a limit; not sent to entries whose version does not know it. */
    boolean sendLimit(String entry, Frame frame) {
        return sendIfVersionAtLeast(LIMIT_VERSION, entry, frame);
    }

    /** Sends a frame about targets that name a limit to all entries whose version knows it. */
    void sendLimitToAll(Frame frame) {
        sendToAll(LIMIT_VERSION, frame);
    }

    /** Sends a frame about the speed of a target; not sent to entries whose version does not know it. */
    boolean sendSpeed(String entry, Frame frame) {
        return sendIfVersionAtLeast(SPEED_VERSION, entry, frame);
    }

    /** Sends a frame about the speed of a target to all entries whose version knows it. */
    void sendSpeedToAll(Frame frame) {
        sendToAll(SPEED_VERSION, frame);
    }

    /** Sends a frame about the origins of streams; not sent to entries whose version does not know it. */
    boolean sendStream(String entry, Frame frame) {
        return sendIfVersionAtLeast(STREAM_VERSION, entry, frame);
    }

    /** Gets the connected entries whose version knows the origins of streams. */
    List<String> entriesKnowingStreams() {
        return linkNode.peers().stream()
                .filter(peer -> isVersionAtLeast(STREAM_VERSION, peer))
                .map(peer -> peer.hello().getInstance())
                .toList();
    }

    /** Sends a frame about requests under which targets have ended; not sent to entries whose version does not know it. */
    boolean sendSuspects(String entry, Frame frame) {
        return sendIfVersionAtLeast(SUSPECT_VERSION, entry, frame);
    }

    /** Sends a frame about requests under which targets have ended to all entries whose version knows it. */
    void sendSuspectsToAll(Frame frame) {
        sendToAll(SUSPECT_VERSION, frame);
    }

    private void sendToAll(int version, Frame frame) {
        linkNode.peers().stream()
                .filter(peer -> isVersionAtLeast(version, peer))
                .forEach(peer -> peer.send(frame));
    }

    private boolean sendIfVersionAtLeast(int version, String entry, Frame frame) {
        return linkNode.find(InstanceId.of(entry))
                .filter(peer -> isVersionAtLeast(version, peer))
                .filter(peer -> peer.send(frame))
                .isPresent();
    }

    private static boolean isVersionAtLeast(int version, Peer peer) {
        return peer.hello().getProtocolVersion() >= version;
    }

    void sendToAll(Frame frame) {
        List<Peer> peers = linkNode.peers();
        peers.forEach(peer -> peer.send(frame));
    }

    /** Sets the handler of feed updates that other entries publish. */
    void onFeedUpdate(Consumer<FeedUpdate> consumer) {
        feedUpdates = Objects.requireNonNull(consumer, "consumer");
    }

    /** Sets the handlers of quota requests, which get the sending entry too, and of quota responses. */
    void onQuota(BiConsumer<String, QuotaRequest> requests, Consumer<QuotaResponse> responses) {
        quotaRequests = Objects.requireNonNull(requests, "requests");
        quotaResponses = Objects.requireNonNull(responses, "responses");
    }

    /** Sets the handlers of target admission requests, which get the sending entry too, and of their responses. */
    void onTargetAdmission(
            BiConsumer<String, TargetAdmissionRequest> requests, Consumer<TargetAdmissionResponse> responses) {
        admissionRequests = Objects.requireNonNull(requests, "requests");
        admissionResponses = Objects.requireNonNull(responses, "responses");
    }

    /** Sets the handlers of messages about ordered admission. */
    void onOrderedAdmission(OrderedAdmissionHandler handler) {
        orderedAdmissionHandler = Objects.requireNonNull(handler, "handler");
    }

    /** Sets the handlers of messages about targets that name a limit. */
    void onLimit(LimitHandler handler) {
        limitHandler = Objects.requireNonNull(handler, "handler");
    }

    /** Sets the handlers of messages about the speeds of targets. */
    void onSpeed(SpeedHandler handler) {
        speedHandler = Objects.requireNonNull(handler, "handler");
    }

    /** Sets the handlers of messages about the origins of streams. */
    void onStream(StreamHandler handler) {
        streamHandler = Objects.requireNonNull(handler, "handler");
    }

    /** Sets the handlers of messages about requests under which targets have ended. */
    void onSuspects(SuspectHandler handler) {
        suspectHandler = Objects.requireNonNull(handler, "handler");
    }

    /** Gets the connected entries of this entry's failure domain that support feed updates. */
    List<Peer> domainPeers() {
        return linkNode.peers().stream()
                .filter(peer -> peer.hello().getFailureDomain().equals(failureDomain))
                .filter(peer -> isVersionAtLeast(FEED_AND_QUOTA_VERSION, peer))
                .toList();
    }

    @Override
    public void onOpened(Peer peer) {
        log.write(EventCode.LINK_OPENED, peer.hello().getInstance());
        listener.onLinkOpened(peer.hello().getInstance());
        if (isVersionAtLeast(LIMIT_VERSION, peer)) {
            limitHandler.onLinkOpened().accept(peer.hello().getInstance());
        }
        if (isVersionAtLeast(SPEED_VERSION, peer)) {
            speedHandler.onLinkOpened().accept(peer.hello().getInstance());
        }
        if (isVersionAtLeast(STREAM_VERSION, peer)) {
            streamHandler.onLinkOpened().accept(peer.hello().getInstance());
        }
        if (isVersionAtLeast(SUSPECT_VERSION, peer)) {
            suspectHandler.onLinkOpened().accept(peer.hello().getInstance());
        }
    }

    @Override
    public void onFrame(Peer peer, Frame frame) {
        if (frame.hasAdapterDemand()) {
            listener.onAdapterDemand(peer.hello().getInstance(), frame.getAdapterDemand());
        } else if (frame.hasAdapterChanges()) {
            listener.onAdapterChanges(frame.getAdapterChanges());
        } else if (frame.hasFeedUpdate()) {
            FeedUpdates.fromMessage(frame.getFeedUpdate()).ifPresent(feedUpdates);
        } else if (frame.hasQuotaRequest()) {
            quotaRequests.accept(peer.hello().getInstance(), frame.getQuotaRequest());
        } else if (frame.hasQuotaResponse()) {
            quotaResponses.accept(frame.getQuotaResponse());
        } else if (frame.hasTargetAdmissionRequest()) {
            admissionRequests.accept(peer.hello().getInstance(), frame.getTargetAdmissionRequest());
        } else if (frame.hasTargetAdmissionResponse()) {
            admissionResponses.accept(frame.getTargetAdmissionResponse());
            orderedAdmissionHandler.onResponse().accept(peer.hello().getInstance(), frame.getTargetAdmissionResponse());
        } else if (frame.hasTargetAdmissionEnd()) {
            orderedAdmissionHandler.onEnd().accept(peer.hello().getInstance(), frame.getTargetAdmissionEnd());
        } else if (frame.hasTargetLimitRequest()) {
            limitHandler.onRequest().accept(peer.hello().getInstance(), frame.getTargetLimitRequest());
        } else if (frame.hasTargetLimitResponse()) {
            limitHandler.onResponse().accept(frame.getTargetLimitResponse());
        } else if (frame.hasTargetLimitUpdate()) {
            limitHandler.onUpdate().accept(frame.getTargetLimitUpdate().getKnown());
        } else if (frame.hasTargetSpeedUpdate()) {
            speedHandler.onUpdate().accept(frame.getTargetSpeedUpdate());
        } else if (frame.hasTargetSpeedSamples()) {
            speedHandler.onSamples().accept(frame.getTargetSpeedSamples());
        } else if (frame.hasSuspectUpdates()) {
            suspectHandler.onUpdates().accept(frame.getSuspectUpdates());
        } else {
            onStreamFrame(peer.hello().getInstance(), frame);
        }
    }

    private void onStreamFrame(String entry, Frame frame) {
        if (frame.hasStreamRecords()) {
            streamHandler.onRecords().accept(entry, frame.getStreamRecords());
        } else if (frame.hasStreamRecordsReceived()) {
            streamHandler.onReceived().accept(frame.getStreamRecordsReceived());
        } else if (frame.hasStreamOriginRequest()) {
            streamHandler.onRequest().accept(entry, frame.getStreamOriginRequest());
        } else if (frame.hasStreamOriginResponse()) {
            streamHandler.onResponse().accept(frame.getStreamOriginResponse());
        }
    }

    @Override
    public void onClosed(Peer peer, String reason) {
        // The link node has logged the loss. Other requests that are still waiting are sent again.
        orderedAdmissionHandler.onLinkClosed().accept(peer.hello().getInstance());
    }

    @Override
    public void close() {
        linkNode.close();
    }
}
