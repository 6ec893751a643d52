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
import org.geraniumreach.coordination.membership.LinkSelector;
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
        SUBMIT_CONCURRENTLY,
        DISCONNECT_FROM_PEERS,
        DISCONNECT_FROM_TABLE,
        ISOLATE,
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
     * Failure: a withdrawn key stays valid, a configuration reverts, or an accepted change is lost or applied twice.
     * Operators submit concurrently while nodes are isolated, frozen and restarted, messages are lost, delayed, duplicated
     * and reordered, and the table is down, slow or loses the answers of applied writes. Invariants are checked after every
     * event.
     */
    @Property(tries = 400, seed = "3")
    void invariantsHoldUnderFaults(@ForAll("steps") List<Step> steps, @ForAll long seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, ENTRIES, 1);
        cluster.runFor(Duration.ofSeconds(2));
        cluster.submit(FIRST, accountSubmission("account-made", 0));
        cluster.runFor(Duration.ofSeconds(1));
        int number = 0;
        for (Step step : steps) {
            perform(cluster, step, number++);
            cluster.runFor(Duration.ofMillis(step.durationMillis()));
        }
        heal(cluster);
        cluster.runFor(Duration.ofSeconds(15));
        cluster.assertLogConsistent();
        assertThat(cluster.processes.values())
                .allSatisfy(process ->
                        assertThat(process.node.configuration().revision()).isEqualTo(cluster.table.headRevision()))
                .allSatisfy(process -> assertThat(cluster.isFresh(process.id)).isTrue());
    }

    /*
     * Failure: the service stops during a table outage of minutes, although no change can have been missed. All entries
     * are connected and report that the table does not answer.
     */
    @Test
    void configurationStaysFreshWhenAllEntriesReportTableOutage() {
        SimulatedCluster cluster = convergedCluster();
        cluster.tableDown = true;
        for (int second = 0; second < 60; second++) {
            cluster.runFor(Duration.ofSeconds(1));
            assertThat(cluster.processes.keySet()).allMatch(cluster::isFresh);
        }
    }

    /*
     * Failure: an isolated entry accepts keys that were withdrawn elsewhere. It reaches neither the table nor the other
     * entries, so it must become stale after the limit, while the others stay fresh.
     */
    @Test
    void isolatedEntryBecomesStale() {
        SimulatedCluster cluster = convergedCluster();
        cluster.disconnectedFromPeers.add(THIRD);
        cluster.disconnectedFromTable.add(THIRD);
        cluster.runFor(SimulatedCluster.FRESHNESS_LIMIT);
        assertThat(cluster.isFresh(THIRD)).isFalse();
        assertThat(cluster.isFresh(FIRST)).isTrue();
        assertThat(cluster.isFresh(SECOND)).isTrue();
        assertThat(cluster.isFresh(COMPANION)).isTrue();
    }

    /*
     * Failure: an entry is isolated during a table outage, after all others reported that they cannot reach the table. The
     * table recovers for the others and a key is withdrawn. The old reports must expire.
     */
    @Test
    void entryIsolatedDuringTableOutageBecomesStale() {
        SimulatedCluster cluster = convergedCluster();
        cluster.tableDown = true;
        cluster.runFor(Duration.ofSeconds(10));
        assertThat(cluster.isFresh(THIRD)).isTrue();
        cluster.disconnectedFromPeers.add(THIRD);
        cluster.disconnectedFromTable.add(THIRD);
        cluster.tableDown = false;
        cluster.runFor(SimulatedCluster.FRESHNESS_LIMIT);
        assertThat(cluster.isFresh(THIRD)).isFalse();
        assertThat(cluster.isFresh(FIRST)).isTrue();
    }

    /*
     * Failure: a configuration reverts to an older revision. Changes and snapshot parts of several revisions arrive late,
     * repeatedly and in any order, as they do from several peers over links that are replaced.
     */
    @Property(tries = 1000, seed = "4")
    void reorderedMessagesNeverRevertConfiguration(@ForAll long seed) {
        Random random = new Random(seed);
        List<Configuration> history = randomHistory(random, 3 + random.nextInt(8));
        Configuration last = history.get(history.size() - 1);
        List<NodeMessage> messages = new ArrayList<>();
        for (Configuration configuration : history) {
            messages.addAll(SnapshotAssembler.split(configuration, 2));
            configuration.entries().stream()
                    .filter(entry -> entry.revision() == configuration.revision())
                    .forEach(entry -> messages.add(new NodeMessage.Changes(configuration.revision(), List.of(entry))));
        }
        messages.addAll(messages.subList(0, random.nextInt(messages.size())));
        Collections.shuffle(messages, random);
        ConfigurationNode node = new ConfigurationNode(
                FIRST,
                new NodeOptions(SimulatedCluster.PERIOD, SimulatedCluster.FRESHNESS_LIMIT, 2, 2),
                () -> 0,
                random);
        node.onLinkOpened(SECOND, true);
        for (NodeMessage message : messages) {
            long before = node.configuration().revision();
            node.onMessage(SECOND, message);
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
     * Failure: a process that was suspended for longer than the limit accepts a withdrawn key when it resumes, before it
     * receives any message.
     */
    @Test
    void frozenProcessIsStaleWhenItResumes() {
        SimulatedCluster cluster = convergedCluster();
        cluster.freeze(COMPANION, SimulatedCluster.FRESHNESS_LIMIT.toNanos() + 1);
        cluster.nowNanos += SimulatedCluster.FRESHNESS_LIMIT.toNanos() + 1;
        assertThat(cluster.isFresh(COMPANION)).isFalse();
    }

    /*
     * Failure: an instance that starts during a table outage serves from an empty configuration and refuses every key. It
     * must install a peer's snapshot, and have no configuration until then.
     */
    @Test
    void nodeStartedDuringTableOutageInstallsPeerSnapshot() {
        SimulatedCluster cluster = convergedCluster();
        cluster.tableDown = true;
        cluster.runFor(Duration.ofSeconds(5));
        cluster.restart(THIRD);
        assertThat(cluster.processes.get(THIRD).node.hasConfiguration()).isFalse();
        cluster.runFor(Duration.ofSeconds(5));
        assertThat(cluster.processes.get(THIRD).node.configuration().revision()).isEqualTo(1);
        assertThat(cluster.isFresh(THIRD)).isTrue();
    }

    /*
     * Failure: a withdrawal is reported as accepted, but the other entries accept the key throughout the following outage,
     * because only the committing entry had the change, and it restarted. A change may be reported as accepted only when
     * another entry holds it.
     */
    @Test
    void changeHeldByOneEntryIsNotReportedAccepted() {
        SimulatedCluster cluster = convergedCluster();
        cluster.messageLossRate = 1;
        cluster.disconnectedFromTable.addAll(List.of(SECOND, THIRD, COMPANION));
        cluster.submit(FIRST, accountSubmission("account-changed", 1));
        cluster.runFor(Duration.ofMillis(500));
        assertThat(cluster.result("account-changed")).isPresent();
        cluster.tableDown = true;
        cluster.restart(FIRST);
        cluster.messageLossRate = 0;
        cluster.runFor(Duration.ofSeconds(10));
        assertThat(cluster.isFresh(SECOND)).isTrue();
    }

    /*
     * Failure: a key withdrawn during a slow poll stays valid. The poll took ten seconds; its result shows the head at the
     * start of the poll and must not be counted from its arrival.
     */
    @Test
    void slowPollConfirmsItsStartTime() {
        long[] now = {0};
        ConfigurationNode node = node(now);
        now[0] = Duration.ofSeconds(10).toNanos();
        node.onPollCompleted(new PollResult(0, 0, Optional.empty(), List.of()));
        assertThat(node.freshUntil()).isLessThanOrEqualTo(now[0]);
        node.onPollCompleted(new PollResult(now[0], 0, Optional.empty(), List.of()));
        assertThat(node.freshUntil()).isEqualTo(now[0] + SimulatedCluster.FRESHNESS_LIMIT.toNanos());
    }

    /*
     * Failure: an instance that lacks changes counts as current because the head was read or a peer is current, and accepts
     * a key that one of the missing changes withdrew.
     */
    @Test
    void confirmationRequiresAllKnownChanges() {
        long[] now = {0};
        ConfigurationNode node = node(now);
        node.onPollCompleted(new PollResult(0, 3, Optional.empty(), List.of()));
        assertThat(node.freshUntil()).isNegative();
        NodeMessage.TimestampEcho echo = new NodeMessage.TimestampEcho(0, 0);
        node.onLinkOpened(SECOND, true);
        node.onMessage(
                SECOND, new NodeMessage.Heartbeat(3, 3, OptionalLong.of(0), false, List.of(), 0, Optional.of(echo)));
        assertThat(node.freshUntil()).isNegative();
    }

    private static ConfigurationNode node(long[] now) {
        NodeOptions options = new NodeOptions(SimulatedCluster.PERIOD, SimulatedCluster.FRESHNESS_LIMIT, 2, 2);
        return new ConfigurationNode(FIRST, options, () -> now[0], new Random(1));
    }

    @Test
    void nodeWithoutTableOrPeersHasNoConfiguration() {
        SimulatedCluster cluster = new SimulatedCluster(1, 1, 0);
        cluster.tableDown = true;
        cluster.runFor(Duration.ofSeconds(20));
        assertThat(cluster.processes.get(FIRST).node.hasConfiguration()).isFalse();
        assertThat(cluster.isFresh(FIRST)).isFalse();
    }

    /*
     * Failure: in a large fleet, where no instance links with all others, changes take many seconds to reach every instance,
     * or a table outage stops the service, because messages travel over too many hops.
     */
    @Test
    void largeFleetReceivesChangesAndStaysFreshDuringOutage() {
        SimulatedCluster cluster = new SimulatedCluster(1, 60, 100, new LinkSelector(16, 3, 64, 8));
        cluster.runFor(Duration.ofSeconds(3));
        cluster.submit(FIRST, accountSubmission("account-made", 0));
        cluster.runFor(Duration.ofSeconds(2));
        assertThat(cluster.processes.values())
                .allMatch(process -> process.node.configuration().revision() == 1)
                .allMatch(process -> cluster.isFresh(process.id));
        long polls = cluster.pollCount;
        cluster.runFor(Duration.ofSeconds(10));
        assertThat(cluster.pollCount - polls).isLessThan(2 * 2 * 10);
        cluster.tableDown = true;
        for (int second = 0; second < 15; second++) {
            cluster.runFor(Duration.ofSeconds(1));
            assertThat(cluster.processes.keySet()).allMatch(cluster::isFresh);
        }
    }

    private static SimulatedCluster convergedCluster() {
        SimulatedCluster cluster = new SimulatedCluster(1, ENTRIES, 1);
        cluster.runFor(Duration.ofSeconds(2));
        cluster.submit(FIRST, accountSubmission("account-made", 0));
        cluster.runFor(Duration.ofSeconds(3));
        assertThat(cluster.processes.keySet()).allMatch(cluster::isFresh);
        return cluster;
    }

    private static void perform(SimulatedCluster cluster, Step step, int number) {
        InstanceId node = InstanceId.of(step.node() < ENTRIES ? "entry-" + step.node() : "companion-0");
        InstanceId entry = InstanceId.of("entry-" + step.node() % ENTRIES);
        InstanceId other = InstanceId.of("entry-" + (step.node() + 1) % ENTRIES);
        long nanos = step.durationMillis() * SimulatedCluster.NANOS_PER_MILLISECOND;
        switch (step.kind()) {
            case SUBMIT -> cluster.submit(
                    entry, keySubmission("operation-" + number, step, cluster.table.headRevision()));
            case SUBMIT_CONCURRENTLY -> {
                cluster.submit(
                        entry, keySubmission("operation-" + number + "-one", step, cluster.table.headRevision()));
                cluster.submit(
                        other, keySubmission("operation-" + number + "-two", step, cluster.table.headRevision()));
            }
            case DISCONNECT_FROM_PEERS -> cluster.disconnectedFromPeers.add(node);
            case DISCONNECT_FROM_TABLE -> cluster.disconnectedFromTable.add(node);
            case ISOLATE -> {
                cluster.disconnectedFromPeers.add(node);
                cluster.disconnectedFromTable.add(node);
            }
            case FREEZE -> cluster.freeze(node, 3 * nanos);
            case RESTART -> cluster.restartIfTolerated(node);
            case TABLE_DOWN -> {
                cluster.tableDown = true;
            }
            case TABLE_SLOW -> {
                cluster.maxTableDelayNanos = 2 * nanos;
            }
            case TABLE_LOSES_ANSWERS -> {
                cluster.tableResponseLossRate = 0.5;
            }
            case MESSAGES_LOST -> {
                cluster.messageLossRate = 0.3;
            }
            case MESSAGES_LATE -> {
                cluster.maxMessageDelayNanos = 3 * nanos;
            }
            case HEAL -> heal(cluster);
            default -> throw new IllegalStateException("unhandled " + step.kind());
        }
    }

    private static void heal(SimulatedCluster cluster) {
        cluster.disconnectedFromPeers.clear();
        cluster.disconnectedFromTable.clear();
        cluster.tableDown = false;
        cluster.maxTableDelayNanos = 0;
        cluster.tableResponseLossRate = 0;
        cluster.messageLossRate = 0;
        cluster.maxMessageDelayNanos = 0;
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
                Tuple.of(3, Arbitraries.of(Kind.SUBMIT, Kind.SUBMIT_CONCURRENTLY)),
                Tuple.of(4, Arbitraries.of(Kind.values())));
        return Combinators.combine(
                        kinds,
                        Arbitraries.integers().between(0, ENTRIES),
                        Arbitraries.integers().between(1, 3000))
                .as(Step::new)
                .list()
                .ofMaxSize(25);
    }
}
