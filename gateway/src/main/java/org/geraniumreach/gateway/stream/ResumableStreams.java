package org.geraniumreach.gateway.stream;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.placement.TargetRegistry;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.port.PendingAnswers;
import org.geraniumreach.gateway.port.Timers;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.SoftwareVersion;

/**
 * Knows which software version began each stream that a caller may take up again, at this entry or at another one.
 *
 * <p>Intended for services whose targets run several software versions during a release, where a stream may go on only at the
 * version that began it and its caller may come back at any entry. Each entry keeps the origins of the streams that it has
 * sent. While a service has a {@linkplain ServiceVersions#soleVersion sole version}, no other entry needs them. Otherwise an
 * origin is recorded at the {@value #REPLICAS} entries that rank first for the stream, before the first event reaches the
 * caller. The entry at which the stream is taken up asks the entries that rank first.
 *
 * <p>Invariants: an origin that is not known is never replaced by a guess. If a target has started again with another version,
 * the origins of the streams that may have reached it already are not known. Confined to the event loop.
 */
public final class ResumableStreams implements TargetRegistry.Listener {

    /** How long an origin is kept at most, if its caller has a later deadline or none. */
    static final Duration MAXIMUM_LIFETIME = Duration.ofMinutes(15);

    /** The number of other entries that keep an origin; two survive the loss of the beginning entry and of one of them. */
    static final int REPLICAS = 2;

    /** One more than {@link #REPLICAS}, since an entry that has just started may rank first and not know the stream yet. */
    static final int ASKED_ENTRIES = REPLICAS + 1;

    /** Usually shorter than the time to the first event; a longer one would delay streams whose replicas are frozen. */
    static final Duration RECORDING_TIMEOUT = Duration.ofMillis(100);

    /** The records that fit into one message far below the limit of a frame. */
    static final int MAXIMUM_RECORDS_PER_MESSAGE = 200;

    private final ServiceVersions versions;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final StreamOrigins origins;
    private final PendingAnswers<Boolean> pendingRecordings;
    private final PendingAnswers<OriginAnswer> pendingLookups;
    private final Set<String> servicesWithSoleVersion = new HashSet<>();
    private final RestartedTargets restartedTargets = new RestartedTargets();
    private final EntryRanking ranking = new EntryRanking();
    private StreamPeers peers = StreamPeers.none();

    /**
     * Creates an instance that knows no stream and no other entries.
     *
     * @param versions the software versions of the services, not null
     * @param timers runs the timeouts, not null
     * @param clock the monotonic clock, not null
     * @param log the decision log, not null
     */
    public ResumableStreams(ServiceVersions versions, Timers timers, MonotonicClock clock, DecisionLog log) {
        this.versions = Objects.requireNonNull(versions, "versions");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.log = Objects.requireNonNull(log, "log");
        this.origins = new StreamOrigins(clock);
        this.pendingRecordings = new PendingAnswers<>(timers);
        this.pendingLookups = new PendingAnswers<>(timers);
    }

    /**
     * Sets the other entries.
     *
     * @param newPeers the other entries, not null
     */
    public void setPeers(StreamPeers newPeers) {
        peers = Objects.requireNonNull(newPeers, "newPeers");
    }

    /**
     * Gets the versions of a service that may not begin streams yet.
     *
     * @param service the service, not null
     * @return the versions, not null
     */
    public Set<SoftwareVersion> heldVersions(String service) {
        return versions.heldVersions(service);
    }

    /**
     * Records the origin of a stream that is being sent to a target.
     *
     * @param key identifies the stream, not null
     * @param target the target, not null
     * @param lifetime the time for which the caller may come back, not null
     * @return confirmed once the origin is recorded where it has to be, not null
     */
    public Recording begin(StreamKey key, Target target, Duration lifetime) {
        StreamOrigin origin = StreamOrigin.of(target);
        boolean local = isSoleVersion(origin);
        StreamRecord stream = new StreamRecord(key, origin, Duration.ZERO, shorter(lifetime, MAXIMUM_LIFETIME));
        origins.put(stream, !local);
        return local ? Recording.confirmed() : replicate(stream);
    }

    private boolean isSoleVersion(StreamOrigin origin) {
        boolean sole = versions.soleVersion(origin.service())
                .filter(origin.version()::equals)
                .isPresent();
        if (sole) {
            servicesWithSoleVersion.add(origin.service());
        }
        return sole;
    }

    private static Duration shorter(Duration one, Duration other) {
        return one.compareTo(other) <= 0 ? one : other;
    }

    private Recording replicate(StreamRecord stream) {
        Recording recording = new Recording();
        int sent = 0;
        int[] unanswered = {0};
        for (String entry : firstRanked(stream.key(), REPLICAS)) {
            long number = pendingRecordings.nextNumber();
            if (peers.sendRecords(entry, number, List.of(stream))) {
                sent++;
                recording.setSentToOthers();
                unanswered[0]++;
                pendingRecordings.add(number, RECORDING_TIMEOUT, false, recorded -> {
                    unanswered[0]--;
                    if (recorded || unanswered[0] == 0) {
                        confirm(recording, stream, recorded);
                    }
                });
            }
        }
        if (sent == 0) {
            confirm(recording, stream, false);
        }
        return recording;
    }

    private void confirm(Recording recording, StreamRecord stream, boolean recorded) {
        if (!recorded && !recording.isConfirmed()) {
            log.write(
                    EventCode.STREAM_ORIGIN_NOT_RECORDED,
                    stream.key().attempt(),
                    Field.of("service", stream.origin().service()),
                    Field.of("softwareVersion", stream.origin().version().value()));
        }
        recording.confirm();
    }

    /**
     * Records the origin of a stream that has been taken up at this entry.
     *
     * @param key identifies the stream, not null
     * @param answer what is known of it, whose origin is known, not null
     * @param lifetime the time for which the caller may come back, not null
     */
    public void keep(StreamKey key, OriginAnswer answer, Duration lifetime) {
        StreamOrigin origin = answer.origin().orElseThrow();
        boolean elsewhere = answer.source() == OriginAnswer.Source.PEER;
        origins.put(
                new StreamRecord(key, origin, answer.age(), shorter(lifetime, MAXIMUM_LIFETIME)),
                elsewhere || !isSoleVersion(origin));
    }

    /**
     * Finds the origin of a stream that a caller takes up again.
     *
     * @param key identifies the stream, empty if the caller does not name it, not null
     * @param service the service that is to run the stream unless its record names another, not null
     * @param callback receives the answer once, possibly at once, not null
     * @return stops the search, not null
     */
    public Cancellable resolve(Optional<StreamKey> key, String service, Consumer<OriginAnswer> callback) {
        Optional<OriginAnswer> local = findLocally(key, service);
        if (local.isPresent() || key.isEmpty()) {
            callback.accept(local.orElseGet(() -> OriginAnswer.unknown(OriginAnswer.Source.NOT_KNOWN)));
            return Cancellable.NOOP;
        }
        OriginLookup lookup = new OriginLookup(pendingLookups, callback);
        firstRanked(key.get(), ASKED_ENTRIES)
                .forEach(entry -> lookup.request(number -> peers.requestOrigin(entry, number, key.get(), service)));
        lookup.awaitAnswers();
        return lookup::cancel;
    }

    private Optional<OriginAnswer> findLocally(Optional<StreamKey> key, String service) {
        return key.flatMap(origins::find)
                .map(stream -> OriginAnswer.of(OriginAnswer.Source.RECORD, stream))
                .or(() -> versions.soleVersion(service).map(version -> OriginAnswer.ofSoleVersion(service, version)));
    }

    /**
     * Answers the request of another entry.
     *
     * @param key identifies the stream, not null
     * @param service the service that is to run the stream unless its record names another, not null
     * @return what this entry knows, not null
     */
    public OriginAnswer findForPeer(StreamKey key, String service) {
        return findLocally(Optional.of(key), service)
                .orElseGet(() -> OriginAnswer.unknown(OriginAnswer.Source.NOT_KNOWN));
    }

    /**
     * Handles the answer to a request.
     *
     * @param number the number of the request
     * @param answer the answer, not null
     */
    public void onOriginAnswer(long number, OriginAnswer answer) {
        pendingLookups.complete(number, answer);
    }

    /**
     * Keeps records that another entry has sent.
     *
     * @param records the records, not null
     */
    public void onRecords(List<StreamRecord> records) {
        records.stream()
                .filter(received -> origins.find(received.key())
                        .filter(known -> known.age().compareTo(received.age()) <= 0)
                        .isEmpty())
                .forEach(received -> origins.put(received, true));
    }

    @Override
    public void onLeft(Target target) {
        restartedTargets.onLeft(target);
    }

    @Override
    public void onJoined(Target target) {
        restartedTargets.onJoined(target);
        origins.removeIf(stream -> stream.origin()
                .run()
                .filter(run -> run.target().equals(target.id()))
                .filter(run -> !restartedTargets.isCertain(
                        run, clock.nanos() - stream.age().toNanos()))
                .isPresent());
    }

    /**
     * Queries whether a target certainly ran the version that its row named when a request was sent to it.
     *
     * @param target the incarnation that the row named, not null
     * @param sentAt the time of sending
     * @return false if the target has started again with another version and may have done so before that time
     */
    public boolean isCertain(Target target, long sentAt) {
        return restartedTargets.isCertain(StreamOrigin.TargetRun.of(target), sentAt);
    }

    /**
     * Handles the acknowledgement of records.
     *
     * @param number the number that was sent with them
     */
    public void onRecorded(long number) {
        pendingRecordings.complete(number, true);
    }

    /**
     * Sends an entry the records for which it ranks first, which it may have missed or lost.
     *
     * @param entry the entry, to which a link has opened, not null
     */
    public void onLinkOpened(String entry) {
        Collection<String> connected = peers.connectedEntries();
        send(entry, origins.replicated(key -> ranking.isAmongFirst(key, entry, connected, ASKED_ENTRIES)));
    }

    private void send(String entry, List<StreamRecord> records) {
        for (int from = 0; from < records.size(); from += MAXIMUM_RECORDS_PER_MESSAGE) {
            peers.sendRecords(
                    entry, 0, records.subList(from, Math.min(records.size(), from + MAXIMUM_RECORDS_PER_MESSAGE)));
        }
    }

    /** Replicates the origins of services that have lost their sole version, and removes old ones; called periodically. */
    public void update() {
        origins.expire();
        List<String> changed = servicesWithSoleVersion.stream()
                .filter(service -> versions.soleVersion(service).isEmpty())
                .toList();
        changed.forEach(service -> {
            servicesWithSoleVersion.remove(service);
            sendToReplicas(origins.takeUnreplicated(service));
        });
    }

    private void sendToReplicas(List<StreamRecord> records) {
        Map<String, List<StreamRecord>> byEntry = new LinkedHashMap<>();
        records.forEach(stream -> firstRanked(stream.key(), REPLICAS)
                .forEach(entry -> byEntry.computeIfAbsent(entry, unused -> new ArrayList<>())
                        .add(stream)));
        byEntry.forEach(this::send);
    }

    private List<String> firstRanked(StreamKey key, int count) {
        return ranking.first(key, peers.connectedEntries(), count);
    }

    /**
     * Gets the number of streams whose origin this entry knows.
     *
     * @return the number, at most a fixed bound
     */
    public int knownStreams() {
        return origins.size();
    }
}
