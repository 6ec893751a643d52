package org.geraniumreach.node;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.stream.OriginAnswer;
import org.geraniumreach.gateway.stream.ResumableStreams;
import org.geraniumreach.gateway.stream.StreamKey;
import org.geraniumreach.gateway.stream.StreamOrigin;
import org.geraniumreach.gateway.stream.StreamPeers;
import org.geraniumreach.gateway.stream.StreamRecord;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.StreamOriginRequest;
import org.geraniumreach.messages.StreamOriginResponse;
import org.geraniumreach.messages.StreamRecords;
import org.geraniumreach.messages.StreamRecordsReceived;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.SoftwareVersion;
import org.geraniumreach.model.TargetId;

/**
 * Exchanges the origins of streams with other entries over the links.
 *
 * <p>Confined to the event loop.
 */
final class StreamLinks implements StreamPeers {

    private final EntryLinks links;
    private final DecisionLog log;

    private StreamLinks(EntryLinks links, DecisionLog log) {
        this.links = Objects.requireNonNull(links, "links");
        this.log = Objects.requireNonNull(log, "log");
    }

    /** Connects the streams of an entry to its links. */
    static void connect(ResumableStreams streams, EntryLinks links, DecisionLog log) {
        StreamLinks connected = new StreamLinks(links, log);
        streams.setPeers(connected);
        links.onStream(new EntryLinks.StreamHandler(
                streams::onLinkOpened,
                (entry, records) -> connected.onRecords(streams, entry, records),
                received -> streams.onRecorded(received.getNumber()),
                (entry, request) -> connected.onRequest(streams, entry, request),
                response -> connected.onResponse(streams, response)));
    }

    @Override
    public Collection<String> connectedEntries() {
        return links.entriesKnowingStreams();
    }

    @Override
    public boolean sendRecords(String entry, long number, List<StreamRecord> records) {
        StreamRecords.Builder message = StreamRecords.newBuilder().setNumber(number);
        records.forEach(stream -> message.addRecords(toMessage(stream)));
        return links.sendStream(
                entry, Frame.newBuilder().setStreamRecords(message).build());
    }

    @Override
    public boolean requestOrigin(String entry, long number, StreamKey key, String service) {
        StreamOriginRequest request = StreamOriginRequest.newBuilder()
                .setNumber(number)
                .setAccount(key.account().map(AccountId::value).orElse(""))
                .setAttempt(key.attempt())
                .setService(service)
                .build();
        return links.sendStream(
                entry, Frame.newBuilder().setStreamOriginRequest(request).build());
    }

    private void onRecords(ResumableStreams streams, String entry, StreamRecords message) {
        streams.onRecords(message.getRecordsList().stream()
                .flatMap(stream -> toRecord(stream).stream())
                .toList());
        if (message.getNumber() > 0) {
            StreamRecordsReceived received = StreamRecordsReceived.newBuilder()
                    .setNumber(message.getNumber())
                    .build();
            links.sendStream(
                    entry, Frame.newBuilder().setStreamRecordsReceived(received).build());
        }
    }

    private void onRequest(ResumableStreams streams, String entry, StreamOriginRequest request) {
        StreamOriginResponse.Builder response =
                StreamOriginResponse.newBuilder().setNumber(request.getNumber());
        toKey(request.getAccount(), request.getAttempt()).ifPresent(key -> {
            OriginAnswer answer = streams.findForPeer(key, request.getService());
            answer.origin().ifPresent(origin -> response.setKnown(true)
                    .setRecord(toMessage(new StreamRecord(key, origin, answer.age(), answer.remaining()))));
        });
        links.sendStream(
                entry, Frame.newBuilder().setStreamOriginResponse(response).build());
    }

    private void onResponse(ResumableStreams streams, StreamOriginResponse response) {
        Optional<StreamRecord> known = response.getKnown() ? toRecord(response.getRecord()) : Optional.empty();
        streams.onOriginAnswer(
                response.getNumber(),
                known.map(stream -> OriginAnswer.of(OriginAnswer.Source.PEER, stream))
                        .orElseGet(() -> OriginAnswer.unknown(OriginAnswer.Source.NOT_KNOWN)));
    }

    private static org.geraniumreach.messages.StreamRecord toMessage(StreamRecord stream) {
        StreamOrigin origin = stream.origin();
        return org.geraniumreach.messages.StreamRecord.newBuilder()
                .setAccount(stream.key().account().map(AccountId::value).orElse(""))
                .setAttempt(stream.key().attempt())
                .setService(origin.service())
                .setSoftwareVersion(origin.version().value())
                .setTarget(origin.run().map(run -> run.target().value()).orElse(""))
                .setStartedAt(
                        origin.run().map(StreamOrigin.TargetRun::startedAt).orElse(0L))
                .setAgeNanos(stream.age().toNanos())
                .setRemainingNanos(stream.remaining().toNanos())
                .build();
    }

    /** Converts a message; empty if it is malformed. */
    private Optional<StreamRecord> toRecord(org.geraniumreach.messages.StreamRecord message) {
        try {
            Optional<StreamOrigin.TargetRun> run = message.getTarget().isEmpty()
                    ? Optional.empty()
                    : Optional.of(new StreamOrigin.TargetRun(TargetId.of(message.getTarget()), message.getStartedAt()));
            StreamOrigin origin =
                    new StreamOrigin(message.getService(), SoftwareVersion.of(message.getSoftwareVersion()), run);
            return toKey(message.getAccount(), message.getAttempt())
                    .map(key -> new StreamRecord(
                            key,
                            origin,
                            Duration.ofNanos(Math.max(0, message.getAgeNanos())),
                            Duration.ofNanos(Math.max(0, message.getRemainingNanos()))));
        } catch (IllegalArgumentException malformed) {
            log.write(EventCode.UNEXPECTED_FAILURE, message.getAttempt(), Field.of("reason", malformed.getMessage()));
            return Optional.empty();
        }
    }

    private Optional<StreamKey> toKey(String account, String attempt) {
        try {
            return StreamKey.of(account.isEmpty() ? Optional.empty() : Optional.of(AccountId.of(account)), attempt);
        } catch (IllegalArgumentException malformed) {
            log.write(EventCode.UNEXPECTED_FAILURE, attempt, Field.of("reason", malformed.getMessage()));
            return Optional.empty();
        }
    }
}
