package org.geraniumreach.gateway.stream;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.placement.TargetDescription;
import org.geraniumreach.gateway.placement.TargetRegistry;
import org.geraniumreach.gateway.testing.TestTargets;
import org.geraniumreach.gateway.testing.VirtualTime;
import org.geraniumreach.model.SoftwareVersion;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;

/** Entries that exchange the origins of streams in virtual time, before one store whose rows they read with a delay. */
final class SimulatedEntries {

    static final String SERVICE = "service";
    private static final Duration MESSAGE_DELAY = Duration.ofMillis(2);
    private static final Duration READ_INTERVAL = Duration.ofMillis(800);
    private static final Duration TICK_INTERVAL = Duration.ofMillis(500);

    private final VirtualTime time = new VirtualTime();
    private final Map<String, Entry> entries = new TreeMap<>();
    private final Map<TargetId, TargetDescription> targetRows = new TreeMap<>();
    private final Map<RowKey, Row> fleetRows = new TreeMap<>(Comparator.comparing(RowKey::key));
    private long storeVersion;
    private boolean storeAvailable = true;
    private boolean committing = true;
    private int messages;

    /** One life of an entry. */
    final class Entry {
        private final String name;
        private final TargetRegistry registry = new TargetRegistry(time);
        private final ServiceVersions versions;
        private final ResumableStreams streams;
        private final Set<String> cutFrom = new HashSet<>();
        private OptionalLong readAt = OptionalLong.empty();
        private boolean alive = true;
        private boolean frozen;
        private boolean cutFromStore;

        private Entry(String name) {
            this.name = name;
            this.versions =
                    new ServiceVersions(registry, () -> readAt, time, time::wallMillis, (event, id, fields) -> {});
            this.streams = new ResumableStreams(versions, time, time, (event, id, fields) -> {});
            streams.setPeers(new Peers(this));
            registry.addListener(streams);
        }

        private void readStore() {
            if (!alive) {
                return;
            }
            if (!frozen && !cutFromStore && storeAvailable) {
                readAt = OptionalLong.of(time.nanos());
                registry.replaceAll(targetRows.values());
                fleetRows.values().forEach(row -> versions.applyRow(row.key().key(), Optional.of(row)));
            }
            time.schedule(READ_INTERVAL, this::readStore);
        }

        private void tick() {
            if (!alive) {
                return;
            }
            if (!frozen) {
                streams.update();
                if (!cutFromStore && storeAvailable) {
                    versions.proposeTransaction(entries.keySet(), name).ifPresent(this::commit);
                }
            }
            time.schedule(TICK_INTERVAL, this::tick);
        }

        private void commit(Transaction transaction) {
            boolean current = transaction.conditions().stream()
                    .allMatch(condition -> condition.version()
                            == Optional.ofNullable(fleetRows.get(condition.key()))
                                    .map(Row::version)
                                    .orElse(0L));
            if (!current || !committing) {
                return;
            }
            storeVersion++;
            transaction.writes().forEach(write -> {
                Row row = new Row(write.key(), storeVersion, write.value().orElseThrow());
                fleetRows.put(write.key(), row);
                versions.applyRow(write.key().key(), Optional.of(row));
            });
        }

        ResumableStreams streams() {
            return streams;
        }

        ServiceVersions versions() {
            return versions;
        }

        Target target(String target) {
            return registry.find(TargetId.of(target)).orElseThrow();
        }

        List<Target> targets() {
            return registry.findByService(SERVICE);
        }

        boolean isReady() {
            return alive && !frozen && readAt.isPresent();
        }

        void freeze() {
            frozen = true;
        }

        void thaw() {
            frozen = false;
        }

        void cutFromStore(boolean cut) {
            cutFromStore = cut;
        }

        /** Loses the messages that this entry sends to another, but not those in the other direction. */
        void cutTo(String other) {
            cutFrom.add(other);
        }

        private boolean hears(Entry sender) {
            return alive && !frozen && !sender.cutFrom.contains(name);
        }
    }

    /** The other entries as one entry sees them. */
    private final class Peers implements StreamPeers {
        private final Entry self;

        private Peers(Entry self) {
            this.self = self;
        }

        @Override
        public Collection<String> connectedEntries() {
            return entries.values().stream()
                    .filter(other -> other.alive && other != self)
                    .map(other -> other.name)
                    .toList();
        }

        private boolean send(String entry, Consumer<Entry> message) {
            Entry receiver = entries.get(entry);
            messages++;
            time.schedule(MESSAGE_DELAY, () -> {
                if (receiver.hears(self)) {
                    message.accept(receiver);
                }
            });
            return true;
        }

        @Override
        public boolean sendRecords(String entry, long number, List<StreamRecord> records) {
            List<StreamRecord> copy = List.copyOf(records);
            return send(entry, receiver -> {
                receiver.streams.onRecords(copy);
                if (number > 0) {
                    reply(receiver, () -> self.streams.onRecorded(number));
                }
            });
        }

        @Override
        public boolean requestOrigin(String entry, long number, StreamKey key, String service) {
            return send(entry, receiver -> {
                OriginAnswer answer = receiver.streams.findForPeer(key, service);
                OriginAnswer asPeer = new OriginAnswer(
                        answer.origin().isPresent() ? OriginAnswer.Source.PEER : answer.source(),
                        answer.origin(),
                        answer.age(),
                        answer.remaining());
                reply(receiver, () -> self.streams.onOriginAnswer(number, asPeer));
            });
        }

        private void reply(Entry from, Runnable message) {
            messages++;
            time.schedule(MESSAGE_DELAY, () -> {
                if (self.hears(from)) {
                    message.run();
                }
            });
        }
    }

    SimulatedEntries(int count) {
        for (int number = 0; number < count; number++) {
            start("entry-" + number);
        }
    }

    /** Starts an entry with an empty memory, in the place of one that has ended. */
    void start(String name) {
        Entry entry = new Entry(name);
        entries.put(name, entry);
        entry.readStore();
        entry.tick();
        entries.values().stream()
                .filter(other -> other.alive && other != entry)
                .forEach(other -> time.schedule(MESSAGE_DELAY, () -> other.streams.onLinkOpened(name)));
    }

    void kill(String name) {
        entries.get(name).alive = false;
    }

    void killAll() {
        entries.values().forEach(entry -> entry.alive = false);
    }

    void setStoreAvailable(boolean available) {
        storeAvailable = available;
    }

    /** Sets whether the store carries out transactions; rows are read all the same. */
    void setCommitting(boolean newCommitting) {
        committing = newCommitting;
    }

    Entry entry(String name) {
        return entries.get(name);
    }

    List<Entry> readyEntries() {
        return entries.values().stream().filter(Entry::isReady).toList();
    }

    Set<String> names() {
        return entries.keySet();
    }

    /** Writes the row of a target that has started with a software version. */
    void putTarget(String name, String version) {
        TargetDescription row = TestTargets.describe(TargetId.of(name), time.nanos(), SoftwareVersion.of(version));
        targetRows.put(row.id(), row);
    }

    void removeTarget(String name) {
        targetRows.remove(TargetId.of(name));
    }

    Set<TargetId> targetNames() {
        return targetRows.keySet();
    }

    boolean isVersionServing(SoftwareVersion version, int targets) {
        return targetRows.values().stream()
                        .filter(row -> row.softwareVersion().equals(version))
                        .count()
                >= targets;
    }

    void advance(Duration duration) {
        time.advance(duration);
    }

    VirtualTime time() {
        return time;
    }

    /** Returns the messages that have been sent so far. */
    int messages() {
        return messages;
    }

    /** Begins a stream at a target and advances the time until its first event may reach the caller. */
    void begin(String entry, StreamKey key, String target, Duration lifetime) {
        Recording recording = entry(entry).streams().begin(key, entry(entry).target(target), lifetime);
        for (int step = 0; step < 200 && !recording.isConfirmed(); step++) {
            advance(Duration.ofMillis(1));
        }
        if (!recording.isConfirmed()) {
            throw new IllegalStateException("the first event is held back for too long: " + key);
        }
    }

    /** Takes a stream up and returns what is known of its origin. */
    OriginAnswer resume(String entry, StreamKey key) {
        List<OriginAnswer> answers = new ArrayList<>();
        entry(entry).streams().resolve(Optional.of(key), SERVICE, answers::add);
        advance(OriginLookup.TIMEOUT.plusMillis(1));
        if (answers.size() != 1) {
            throw new IllegalStateException(answers.size() + " answers for " + key);
        }
        OriginAnswer answer = answers.get(0);
        answer.origin().ifPresent(origin -> entry(entry).streams().keep(key, answer, Duration.ofSeconds(30)));
        return answer;
    }
}
