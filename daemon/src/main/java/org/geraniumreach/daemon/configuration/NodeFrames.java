package org.geraniumreach.daemon.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.geraniumreach.coordination.configuration.NodeMessage;
import org.geraniumreach.messages.ConfigurationNews;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.Freshness;
import org.geraniumreach.messages.SnapshotPart;
import org.geraniumreach.messages.SnapshotRequest;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.record.LogEntry;
import org.geraniumreach.model.record.RecordKey;
import org.geraniumreach.model.record.RecordKind;

/**
 * Encodes and decodes the frames that carry messages of configuration nodes.
 *
 * <p>Contract: ages are rounded up and holding times are rounded down, so that nothing appears newer than it is. Stateless
 * and safe for use by several threads.
 */
final class NodeFrames {

    /** The kinds of frame that carry messages of configuration nodes. */
    static final Set<Frame.BodyCase> FRAME_KINDS = Set.of(
            Frame.BodyCase.CONFIGURATION_NEWS,
            Frame.BodyCase.SNAPSHOT_REQUEST,
            Frame.BodyCase.SNAPSHOT_PART,
            Frame.BodyCase.FRESHNESS);

    private static final long NEVER_CONFIRMED_AGE_MILLIS = -1;

    private NodeFrames() {}

    static Frame encode(InstanceId self, NodeMessage message) {
        if (message instanceof NodeMessage.Changes changes) {
            ConfigurationNews.Builder builder = ConfigurationNews.newBuilder().setHead(changes.highestKnownRevision());
            changes.entries().forEach(entry -> builder.addEntries(encodeEntry(entry)));
            return Frame.newBuilder().setConfigurationNews(builder).build();
        }
        if (message instanceof NodeMessage.SnapshotRequest request) {
            return Frame.newBuilder()
                    .setSnapshotRequest(SnapshotRequest.newBuilder().setHaveRevision(request.heldRevision()))
                    .build();
        }
        if (message instanceof NodeMessage.SnapshotPart part) {
            SnapshotPart.Builder builder = SnapshotPart.newBuilder()
                    .setRevision(part.revision())
                    .setIndex(part.index())
                    .setParts(part.parts());
            part.entries().forEach(entry -> builder.addEntries(encodeEntry(entry)));
            return Frame.newBuilder().setSnapshotPart(builder).build();
        }
        return Frame.newBuilder()
                .setFreshness(encodeHeartbeat(self, (NodeMessage.Heartbeat) message))
                .build();
    }

    private static Freshness encodeHeartbeat(InstanceId self, NodeMessage.Heartbeat heartbeat) {
        Freshness.Builder builder = Freshness.newBuilder()
                .setInstance(self.value())
                .setRevision(heartbeat.revision())
                .setHighestRevision(heartbeat.highestKnownRevision())
                .setConfirmedAgeMillis(
                        heartbeat.confirmationAgeNanos().isPresent()
                                ? toMillisRoundedUp(
                                        heartbeat.confirmationAgeNanos().getAsLong())
                                : NEVER_CONFIRMED_AGE_MILLIS)
                .setStoreReachable(!heartbeat.isStoreUnreachable())
                .setStamp(heartbeat.timestamp());
        heartbeat.unreachableReports().forEach(report -> builder.addHeard(
                        report.entry().value())
                .addHeardAgeMillis(toMillisRoundedUp(report.ageNanos())));
        heartbeat.echo().ifPresent(echo -> builder.setEchoes(true)
                .setEcho(echo.timestamp())
                .setEchoHeldMillis(TimeUnit.NANOSECONDS.toMillis(echo.heldNanos())));
        return builder.build();
    }

    private static long toMillisRoundedUp(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos) + 1;
    }

    private static org.geraniumreach.messages.LogEntry encodeEntry(LogEntry entry) {
        return org.geraniumreach.messages.LogEntry.newBuilder()
                .setRevision(entry.revision())
                .setOperation(entry.operation())
                .setKind(entry.key().kind().label())
                .setName(entry.key().name())
                .setWithdrawn(entry.body().isEmpty())
                .setBody(entry.body().orElse(""))
                .build();
    }

    /**
     * Decodes a frame.
     *
     * @param frame the frame, of one of {@link #FRAME_KINDS}, not null
     * @return the message, not null
     * @throws IllegalArgumentException if the frame is of another kind or a value of it is invalid
     */
    static NodeMessage decode(Frame frame) {
        switch (frame.getBodyCase()) {
            case CONFIGURATION_NEWS:
                ConfigurationNews changes = frame.getConfigurationNews();
                return new NodeMessage.Changes(changes.getHead(), decodeEntries(changes.getEntriesList()));
            case SNAPSHOT_REQUEST:
                return new NodeMessage.SnapshotRequest(
                        frame.getSnapshotRequest().getHaveRevision());
            case SNAPSHOT_PART:
                SnapshotPart part = frame.getSnapshotPart();
                return new NodeMessage.SnapshotPart(
                        part.getRevision(), part.getIndex(), part.getParts(), decodeEntries(part.getEntriesList()));
            case FRESHNESS:
                return decodeHeartbeat(frame.getFreshness());
            default:
                throw new IllegalArgumentException("expected a configuration frame, not " + frame.getBodyCase());
        }
    }

    private static NodeMessage.Heartbeat decodeHeartbeat(Freshness freshness) {
        if (freshness.getHeardCount() != freshness.getHeardAgeMillisCount()) {
            throw new IllegalArgumentException("different numbers of unreachable reports and of their ages");
        }
        List<NodeMessage.UnreachableReport> reports = new ArrayList<>();
        for (int index = 0; index < freshness.getHeardCount(); index++) {
            reports.add(new NodeMessage.UnreachableReport(
                    InstanceId.of(freshness.getHeard(index)), toNanos(freshness.getHeardAgeMillis(index))));
        }
        long ageMillis = freshness.getConfirmedAgeMillis();
        return new NodeMessage.Heartbeat(
                freshness.getRevision(),
                freshness.getHighestRevision(),
                ageMillis < 0 ? OptionalLong.empty() : OptionalLong.of(toNanos(ageMillis)),
                !freshness.getStoreReachable(),
                reports,
                freshness.getStamp(),
                freshness.getEchoes()
                        ? Optional.of(new NodeMessage.TimestampEcho(
                                freshness.getEcho(), toNanos(freshness.getEchoHeldMillis())))
                        : Optional.empty());
    }

    private static long toNanos(long millis) {
        if (millis < 0) {
            throw new IllegalArgumentException("negative time in milliseconds: " + millis);
        }
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static List<LogEntry> decodeEntries(List<org.geraniumreach.messages.LogEntry> wire) {
        return wire.stream().map(NodeFrames::decodeEntry).toList();
    }

    private static LogEntry decodeEntry(org.geraniumreach.messages.LogEntry wire) {
        RecordKind kind = RecordKind.ofLabel(wire.getKind())
                .orElseThrow(() -> new IllegalArgumentException("unknown kind '" + wire.getKind() + "'"));
        return new LogEntry(
                wire.getRevision(),
                wire.getOperation(),
                RecordKey.of(kind, wire.getName()),
                wire.getWithdrawn() ? Optional.empty() : Optional.of(wire.getBody()));
    }
}
