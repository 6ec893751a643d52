package org.geraniumreach.coordination.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.geraniumreach.coordination.membership.LinkChoice;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.record.Configuration;
import org.geraniumreach.model.record.LogEntry;
import org.geraniumreach.model.record.RecordKey;
import org.geraniumreach.model.record.RecordKind;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigurationNodeTest {

    private static final int ENTRIES = 3;
    private static final InstanceId FIRST = InstanceId.of("entry-0");
    private static final InstanceId SECOND = InstanceId.of("entry-1");
    private static final InstanceId THIRD = InstanceId.of("entry-2");
    private static final InstanceId COMPANION = InstanceId.of("companion-0");

    enum Kind {
        SUBMIT,
        RACE,
        CUT_FROM_PEERS,
        CUT_FROM_TABLE,
        CUT_OFF,
        FREEZE,
        RESTART,
        TABLE_DOWN,
        TABLE_SLOW,
        TABLE_LOSES_ANSWERS,
        MESSAGES_LOST,
        MESSAGES_LATE,
        HEAL
    }

    record Step(Kind kind, int node, int durationMillis) {}

    /*
     * Failure: a key that was withdrawn works on, a configuration falls back, or an accepted change is lost or made twice.
     * Operators race while nodes are cut off, frozen and restarted, messages are lost, late, repeated and out of order, and
     * the table is down, slow or loses answers of writes that took effect. The checks run after every event.
     */
    @Property(tries = 400, seed = "3")
    void invariantsHoldUnderFaults(@ForAll("steps") List<Step> steps, @ForAll long seed) {
        SimulatedCluster world = new SimulatedCluster(seed, ENTRIES, 1);
        world.runFor(Duration.ofSeconds(2));
        world.submit(FIRST, accountSubmission("account-made", 0));
        world.runFor(Duration.ofSeconds(1));
        int number = 0;
        for (Step step : steps) {
            perform(world, step, number++);
            world.runFor(Duration.ofMillis(step.durationMillis()));
        }
        heal(world);
        world.runFor(Duration.ofSeconds(15));
        world.assertLogConsistent();
        assertThat(world.processes.values())
                .allSatisfy(process ->
                        assertThat(process.node.configuration().revision()).isEqualTo(world.table.headRevision()))
                .allSatisfy(process -> assertThat(world.isFresh(process.id)).isTrue());
    }

    /*
     * Failure: the table is down for minutes and the whole service stops, although no change can have been missed. All
     * entries hear one another and say that the table does not answer.
     */
    @Test
    void configurationStaysFreshWhenAllEntriesReportTableOutage() {
        SimulatedCluster world = convergedCluster();
        world.tableDown = true;
        for (int second = 0; second < 60; second++) {
            world.runFor(Duration.ofSeconds(1));
            assertThat(world.processes.keySet()).allMatch(world::isFresh);
        }
    }

    /*
     * Failure: an entry that is cut off honours keys that were withdrawn elsewhere. It hears neither the table nor the
     * other entries, so after the limit it must refuse, while the others go on.
     */
    @Test
    void isolatedEntryBecomesStale() {
        SimulatedCluster world = convergedCluster();
        world.disconnectedFromPeers.add(THIRD);
        world.disconnectedFromTable.add(THIRD);
        world.runFor(SimulatedCluster.FRESHNESS_LIMIT);
        assertThat(world.isFresh(THIRD)).isFalse();
        assertThat(world.isFresh(FIRST)).isTrue();
        assertThat(world.isFresh(SECOND)).isTrue();
        assertThat(world.isFresh(COMPANION)).isTrue();
    }

    /*
     * Failure: an entry is cut off during an outage of the table, having heard from all others that they do not reach it.
     * The table comes back for the others and a key is withdrawn. What the others said long ago must not count for ever.
     */
    @Test
    void entryIsolatedDuringTableOutageBecomesStale() {
        SimulatedCluster world = convergedCluster();
        world.tableDown = true;
        world.runFor(Duration.ofSeconds(10));
        assertThat(world.isFresh(THIRD)).isTrue();
        world.disconnectedFromPeers.add(THIRD);
        world.disconnectedFromTable.add(THIRD);
        world.tableDown = false;
        world.runFor(SimulatedCluster.FRESHNESS_LIMIT);
        assertThat(world.isFresh(THIRD)).isFalse();
        assertThat(world.isFresh(FIRST)).isTrue();
    }

    /*
     * Failure: a configuration falls back to an older one. News and parts of snapshots of several revisions come late, more
     * than once and in any order, as they do from several peers over links that are replaced.
     */
    @Property(tries = 1000, seed = "4")
    void reorderedMessagesNeverRevertConfiguration(@ForAll long seed) {
        Random random = new Random(seed);
        List<Configuration> history = randomHistory(random, 3 + random.nextInt(8));
        Configuration last = history.get(history.size() - 1);
        List<NodeMessage> messages = new ArrayList<>();
        for (Configuration at : history) {
            messages.addAll(SnapshotAssembler.split(at, 2));
            at.entries().stream()
                    .filter(entry -> entry.revision() == at.revision())
                    .forEach(entry -> messages.add(new NodeMessage.News(at.revision(), List.of(entry))));
        }
        messages.addAll(messages.subList(0, random.nextInt(messages.size())));
        Collections.shuffle(messages, random);
        ConfigurationNode node = new ConfigurationNode(
                FIRST,
                new NodeOptions(SimulatedCluster.PERIOD, SimulatedCluster.FRESHNESS_LIMIT, 2, 2),
                () -> 0,
                random);
        node.opened(SECOND, true);
        for (NodeMessage message : messages) {
            long before = node.configuration().revision();
            node.received(SECOND, message);
            long after = node.configuration().revision();
            assertThat(after).isGreaterThanOrEqualTo(before);
            assertThat(Set.copyOf(node.configuration().entries()))
                    .isEqualTo(Set.copyOf(history.get((int) after).entries()));
        }
        assertThat(node.configuration().revision()).isEqualTo(last.revision());
    }

    private static List<Configuration> randomHistory(Random random, int changes) {
        List<Configuration> history = new ArrayList<>();
        history.add(Configuration.empty());
        for (int revision = 1; revision <= changes; revision++) {
            RecordKey key = RecordKey.of(RecordKind.ADAPTER, "adapter-" + random.nextInt(4));
            Optional<String> body =
                    Optional.of("{\"schemaVersion\":1,\"baseModel\":\"base\",\"versions\":[\"v" + revision + "\"]}");
            LogEntry entry = new LogEntry(revision, "operation-" + revision, key, body);
            history.add(history.get(revision - 1).plus(List.of(entry)));
        }
        return history;
    }

    /*
     * Failure: a process that was stopped for longer than the limit serves a withdrawn key in the moment when it goes on,
     * before it has heard anything.
     */
    @Test
    void frozenProcessIsStaleWhenItResumes() {
        SimulatedCluster world = convergedCluster();
        world.freeze(COMPANION, SimulatedCluster.FRESHNESS_LIMIT.toNanos() + 1);
        world.nowNanos += SimulatedCluster.FRESHNESS_LIMIT.toNanos() + 1;
        assertThat(world.isFresh(COMPANION)).isFalse();
    }

    /*
     * Failure: an instance that starts while the table is down answers from an empty configuration and refuses every key.
     * It takes the snapshot of a peer instead, and says that it is not ready until then.
     */
    @Test
    void nodeStartedDuringTableOutageInstallsPeerSnapshot() {
        SimulatedCluster world = convergedCluster();
        world.tableDown = true;
        world.runFor(Duration.ofSeconds(5));
        world.restart(THIRD);
        assertThat(world.processes.get(THIRD).node.isObtained()).isFalse();
        world.runFor(Duration.ofSeconds(5));
        assertThat(world.processes.get(THIRD).node.configuration().revision()).isEqualTo(1);
        assertThat(world.isFresh(THIRD)).isTrue();
    }

    /*
     * Failure: a withdrawal was called accepted, and the others serve the key for the whole outage that follows. Only the
     * entry that took it knew of it, and it restarted. So accepted is said when another entry holds the change.
     */
    @Test
    void changeHeldByOneEntryIsNotReportedAccepted() {
        SimulatedCluster world = convergedCluster();
        world.messageLossRate = 1;
        world.disconnectedFromTable.addAll(List.of(SECOND, THIRD, COMPANION));
        world.submit(FIRST, accountSubmission("account-changed", 1));
        world.runFor(Duration.ofMillis(500));
        assertThat(world.result("account-changed")).isPresent();
        world.tableDown = true;
        world.restart(FIRST);
        world.messageLossRate = 0;
        world.runFor(Duration.ofSeconds(10));
        assertThat(world.isFresh(SECOND)).isTrue();
    }

    /*
     * Failure: a slow table's answer says what the head was when it was asked, ten seconds ago. Taken as of its arrival it
     * would let a key pass that was withdrawn meanwhile.
     */
    @Test
    void slowPollConfirmsItsStartTime() {
        long[] now = {0};
        ConfigurationNode node = node(now);
        now[0] = Duration.ofSeconds(10).toNanos();
        node.polled(new PollAnswer(0, 0, Optional.empty(), List.of()));
        assertThat(node.freshUntil()).isLessThanOrEqualTo(now[0]);
        node.polled(new PollAnswer(now[0], 0, Optional.empty(), List.of()));
        assertThat(node.freshUntil()).isEqualTo(now[0] + SimulatedCluster.FRESHNESS_LIMIT.toNanos());
    }

    /*
     * Failure: an instance that lacks changes takes itself for current, since the head was read, or a peer is current, and
     * serves a key that one of the changes withdrew.
     */
    @Test
    void confirmationRequiresAllKnownChanges() {
        long[] now = {0};
        ConfigurationNode node = node(now);
        node.polled(new PollAnswer(0, 3, Optional.empty(), List.of()));
        assertThat(node.freshUntil()).isNegative();
        NodeMessage.Echo echo = new NodeMessage.Echo(0, 0);
        node.opened(SECOND, true);
        node.received(SECOND, new NodeMessage.Note(3, 3, OptionalLong.of(0), false, List.of(), 0, Optional.of(echo)));
        assertThat(node.freshUntil()).isNegative();
    }

    private static ConfigurationNode node(long[] now) {
        NodeOptions options = new NodeOptions(SimulatedCluster.PERIOD, SimulatedCluster.FRESHNESS_LIMIT, 2, 2);
        return new ConfigurationNode(FIRST, options, () -> now[0], new Random(1));
    }

    @Test
    void nodeWithoutTableOrPeersHasNoConfiguration() {
        SimulatedCluster world = new SimulatedCluster(1, 1, 0);
        world.tableDown = true;
        world.runFor(Duration.ofSeconds(20));
        assertThat(world.processes.get(FIRST).node.isObtained()).isFalse();
        assertThat(world.isFresh(FIRST)).isFalse();
    }

    /*
     * Failure: with hundreds of entries a change takes longer than seconds to be in force everywhere, or an outage of the
     * table stops the service, because news and words go over too many hops. The links are those of a large fleet; no
     * instance links with all others.
     */
    @Test
    void largeFleetReceivesChangesAndStaysFreshDuringOutage() {
        SimulatedCluster world = new SimulatedCluster(1, 60, 100, new LinkChoice(16, 3, 64, 8));
        world.runFor(Duration.ofSeconds(3));
        world.submit(FIRST, accountSubmission("account-made", 0));
        world.runFor(Duration.ofSeconds(2));
        assertThat(world.processes.values())
                .allMatch(process -> process.node.configuration().revision() == 1)
                .allMatch(process -> world.isFresh(process.id));
        long polls = world.pollCount;
        world.runFor(Duration.ofSeconds(10));
        assertThat(world.pollCount - polls).isLessThan(2 * 2 * 10);
        world.tableDown = true;
        for (int second = 0; second < 15; second++) {
            world.runFor(Duration.ofSeconds(1));
            assertThat(world.processes.keySet()).allMatch(world::isFresh);
        }
    }

    private static SimulatedCluster convergedCluster() {
        SimulatedCluster world = new SimulatedCluster(1, ENTRIES, 1);
        world.runFor(Duration.ofSeconds(2));
        world.submit(FIRST, accountSubmission("account-made", 0));
        world.runFor(Duration.ofSeconds(3));
        assertThat(world.processes.keySet()).allMatch(world::isFresh);
        return world;
    }

    private static void perform(SimulatedCluster world, Step step, int number) {
        InstanceId node = InstanceId.of(step.node() < ENTRIES ? "entry-" + step.node() : "companion-0");
        InstanceId entry = InstanceId.of("entry-" + step.node() % ENTRIES);
        InstanceId other = InstanceId.of("entry-" + (step.node() + 1) % ENTRIES);
        long nanos = step.durationMillis() * SimulatedCluster.NANOS_PER_MILLISECOND;
        switch (step.kind()) {
            case SUBMIT -> world.submit(entry, keySubmission("operation-" + number, step, world.table.headRevision()));
            case RACE -> {
                world.submit(entry, keySubmission("operation-" + number + "-one", step, world.table.headRevision()));
                world.submit(other, keySubmission("operation-" + number + "-two", step, world.table.headRevision()));
            }
            case CUT_FROM_PEERS -> world.disconnectedFromPeers.add(node);
            case CUT_FROM_TABLE -> world.disconnectedFromTable.add(node);
            case CUT_OFF -> {
                world.disconnectedFromPeers.add(node);
                world.disconnectedFromTable.add(node);
            }
            case FREEZE -> world.freeze(node, 3 * nanos);
            case RESTART -> world.restartIfTolerated(node);
            case TABLE_DOWN -> {
                world.tableDown = true;
            }
            case TABLE_SLOW -> {
                world.maxTableDelayNanos = 2 * nanos;
            }
            case TABLE_LOSES_ANSWERS -> {
                world.tableResponseLossRate = 0.5;
            }
            case MESSAGES_LOST -> {
                world.messageLossRate = 0.3;
            }
            case MESSAGES_LATE -> {
                world.maxMessageDelayNanos = 3 * nanos;
            }
            case HEAL -> heal(world);
            default -> throw new IllegalStateException("unhandled " + step.kind());
        }
    }

    private static void heal(SimulatedCluster world) {
        world.disconnectedFromPeers.clear();
        world.disconnectedFromTable.clear();
        world.tableDown = false;
        world.maxTableDelayNanos = 0;
        world.tableResponseLossRate = 0;
        world.messageLossRate = 0;
        world.maxMessageDelayNanos = 0;
    }

    private static Submission accountSubmission(String operation, long basedOn) {
        return new Submission(
                operation,
                basedOn,
                RecordKey.of(RecordKind.ACCOUNT, "account"),
                Optional.of("{\"schemaVersion\":1,\"rate\":1,\"burst\":1}"));
    }

    private static Submission keySubmission(String operation, Step step, long basedOn) {
        RecordKey key = RecordKey.of(RecordKind.KEY, "key-" + step.durationMillis() % 2);
        String digest = String.valueOf(step.durationMillis() % 2).repeat(64);
        String body = "{\"schemaVersion\":1,\"account\":\"account\",\"digest\":\"" + digest + "\"}";
        return new Submission(
                operation, basedOn, key, step.durationMillis() % 3 == 0 ? Optional.empty() : Optional.of(body));
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Kind> kinds = Arbitraries.frequencyOf(
                Tuple.of(3, Arbitraries.of(Kind.SUBMIT, Kind.RACE)), Tuple.of(4, Arbitraries.of(Kind.values())));
        return Combinators.combine(
                        kinds,
                        Arbitraries.integers().between(0, ENTRIES),
                        Arbitraries.integers().between(1, 3000))
                .as(Step::new)
                .list()
                .ofMaxSize(25);
    }
}
