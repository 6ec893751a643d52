package org.geraniumreach.coordination.configuration;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.geraniumreach.model.InstanceId;
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

    record Step(Kind kind, int node, int millis) {}

    /*
     * Failure: a key that was withdrawn works on, a configuration falls back, or an accepted change is lost or made twice.
     * Operators race while nodes are cut off, frozen and restarted, messages are lost, late, repeated and out of order, and
     * the table is down, slow or loses answers of writes that took effect. The checks run after every event.
     */
    @Property(tries = 400, seed = "3")
    void whatMustHoldHoldsUnderFaults(@ForAll("steps") List<Step> steps, @ForAll long seed) {
        FakeWorld world = new FakeWorld(seed, ENTRIES, 1);
        world.runFor(Duration.ofSeconds(2));
        world.submit(FIRST, account("account-made", 0));
        world.runFor(Duration.ofSeconds(1));
        int number = 0;
        for (Step step : steps) {
            perform(world, step, number++);
            world.runFor(Duration.ofMillis(step.millis()));
        }
        heal(world);
        world.runFor(Duration.ofSeconds(15));
        world.checkLog();
        assertThat(world.processes.values())
                .allSatisfy(process ->
                        assertThat(process.node.configuration().revision()).isEqualTo(world.table.head()))
                .allSatisfy(process -> assertThat(world.isFresh(process.id)).isTrue());
    }

    /*
     * Failure: the table is down for minutes and the whole service stops, although no change can have been missed. All
     * entries hear one another and say that the table does not answer.
     */
    @Test
    void anOutageThatAllSeeDoesNotStopTheService() {
        FakeWorld world = settledWorld();
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
    void anEntryThatIsCutOffStopsServing() {
        FakeWorld world = settledWorld();
        world.cutFromPeers.add(THIRD);
        world.cutFromTable.add(THIRD);
        world.runFor(FakeWorld.LIMIT);
        assertThat(world.isFresh(THIRD)).isFalse();
        assertThat(world.isFresh(FIRST)).isTrue();
        assertThat(world.isFresh(SECOND)).isTrue();
        assertThat(world.isFresh(COMPANION)).isTrue();
    }

    /*
     * Failure: a process that was stopped for longer than the limit serves a withdrawn key in the moment when it goes on,
     * before it has heard anything.
     */
    @Test
    void aFrozenProcessIsNotFreshWhenItGoesOn() {
        FakeWorld world = settledWorld();
        world.freeze(COMPANION, FakeWorld.LIMIT.toNanos() + 1);
        world.now += FakeWorld.LIMIT.toNanos() + 1;
        assertThat(world.isFresh(COMPANION)).isFalse();
    }

    /*
     * Failure: an instance that starts while the table is down answers from an empty configuration and refuses every key.
     * It takes the snapshot of a peer instead, and says that it is not ready until then.
     */
    @Test
    void aNodeThatStartsDuringAnOutageTakesThePeersSnapshot() {
        FakeWorld world = settledWorld();
        world.tableDown = true;
        world.runFor(Duration.ofSeconds(5));
        world.restart(THIRD);
        assertThat(world.processes.get(THIRD).node.isObtained()).isFalse();
        world.runFor(Duration.ofSeconds(5));
        assertThat(world.processes.get(THIRD).node.configuration().revision()).isEqualTo(1);
        assertThat(world.isFresh(THIRD)).isTrue();
    }

    @Test
    void aNodeWithNeitherTableNorPeerSaysThatItHasNothing() {
        FakeWorld world = new FakeWorld(1, 1, 0);
        world.tableDown = true;
        world.runFor(Duration.ofSeconds(20));
        assertThat(world.processes.get(FIRST).node.isObtained()).isFalse();
        assertThat(world.isFresh(FIRST)).isFalse();
    }

    private static FakeWorld settledWorld() {
        FakeWorld world = new FakeWorld(1, ENTRIES, 1);
        world.runFor(Duration.ofSeconds(2));
        world.submit(FIRST, account("account-made", 0));
        world.runFor(Duration.ofSeconds(3));
        assertThat(world.processes.keySet()).allMatch(world::isFresh);
        return world;
    }

    private static void perform(FakeWorld world, Step step, int number) {
        InstanceId node = InstanceId.of(step.node() < ENTRIES ? "entry-" + step.node() : "companion-0");
        InstanceId entry = InstanceId.of("entry-" + step.node() % ENTRIES);
        InstanceId other = InstanceId.of("entry-" + (step.node() + 1) % ENTRIES);
        long nanos = step.millis() * FakeWorld.MILLISECOND;
        switch (step.kind()) {
            case SUBMIT -> world.submit(entry, key("operation-" + number, step, world.table.head()));
            case RACE -> {
                world.submit(entry, key("operation-" + number + "-one", step, world.table.head()));
                world.submit(other, key("operation-" + number + "-two", step, world.table.head()));
            }
            case CUT_FROM_PEERS -> world.cutFromPeers.add(node);
            case CUT_FROM_TABLE -> world.cutFromTable.add(node);
            case CUT_OFF -> {
                world.cutFromPeers.add(node);
                world.cutFromTable.add(node);
            }
            case FREEZE -> world.freeze(node, 3 * nanos);
            case RESTART -> world.restartOnce(node);
            case TABLE_DOWN -> {
                world.tableDown = true;
            }
            case TABLE_SLOW -> {
                world.tableDelay = 2 * nanos;
            }
            case TABLE_LOSES_ANSWERS -> {
                world.lossOfAnswers = 0.5;
            }
            case MESSAGES_LOST -> {
                world.lossOfMessages = 0.3;
            }
            case MESSAGES_LATE -> {
                world.messageDelay = 3 * nanos;
            }
            case HEAL -> heal(world);
            default -> throw new IllegalStateException("unhandled " + step.kind());
        }
    }

    private static void heal(FakeWorld world) {
        world.cutFromPeers.clear();
        world.cutFromTable.clear();
        world.tableDown = false;
        world.tableDelay = 0;
        world.lossOfAnswers = 0;
        world.lossOfMessages = 0;
        world.messageDelay = 0;
    }

    private static Submission account(String operation, long basedOn) {
        return new Submission(
                operation,
                basedOn,
                RecordKey.of(RecordKind.ACCOUNT, "account"),
                Optional.of("{\"schemaVersion\":1,\"rate\":1,\"burst\":1}"));
    }

    private static Submission key(String operation, Step step, long basedOn) {
        RecordKey key = RecordKey.of(RecordKind.KEY, "key-" + step.millis() % 2);
        String digest = String.valueOf(step.millis() % 2).repeat(64);
        String body = "{\"schemaVersion\":1,\"account\":\"account\",\"digest\":\"" + digest + "\"}";
        return new Submission(operation, basedOn, key, step.millis() % 3 == 0 ? Optional.empty() : Optional.of(body));
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
