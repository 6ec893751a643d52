package org.geraniumreach.daemon.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;

import org.geraniumreach.coordination.configuration.ConfigurationRows;
import org.geraniumreach.coordination.configuration.Submission;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.KeyDigest;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServingException;
import org.geraniumreach.model.record.RecordKey;
import org.geraniumreach.model.record.RecordKind;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;
import org.geraniumreach.ports.PlatformException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

class ReplicatedConfigurationTest {

    private static final ConfigurationSettings SETTINGS = new ConfigurationSettings(
            Duration.ofMillis(50), Duration.ofMillis(500), 2, Duration.ofSeconds(2), Duration.ofSeconds(1), 10);
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final KeyDigest DIGEST = KeyDigest.ofSecret("secret");

    private final MonotonicClock clock = MonotonicClock.system();
    private final InMemoryTable table = new InMemoryTable();
    private final List<ReplicatedConfiguration> started = new ArrayList<>();

    private final Set<InstanceId> entries = Set.of(InstanceId.of("entry-1"), InstanceId.of("entry-2"));
    private final InMemoryLinks firstLinks = new InMemoryLinks("entry-1", "entry");
    private final InMemoryLinks secondLinks = new InMemoryLinks("entry-2", "entry");

    private ReplicatedConfiguration start(String instance, InMemoryLinks links) {
        ReplicatedConfiguration configuration = ReplicatedConfiguration.start(
                InstanceId.of(instance),
                SETTINGS,
                table,
                links,
                new SingleEntry.FixedMembership(entries),
                clock,
                new Random(1));
        started.add(configuration);
        return configuration;
    }

    private Submitter submitter(ReplicatedConfiguration configuration) {
        return new Submitter(configuration, SETTINGS, table, clock, new Random(1));
    }

    @AfterEach
    void close() {
        started.forEach(ReplicatedConfiguration::close);
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).isLessThan(deadline);
            Thread.sleep(5);
        }
    }

    private static Submission submission(String operation, long basedOn, RecordKind kind, String name, String body) {
        return new Submission(
                operation,
                basedOn,
                RecordKey.of(kind, name),
                Optional.ofNullable(body).map(text -> text.replace('\'', '"')));
    }

    private static Submission account(int number, long basedOn) {
        String body = "{'schemaVersion':1,'rate':" + (number + 1) + ",'burst':1}";
        return submission("account-" + number, basedOn, RecordKind.ACCOUNT, "acme", body);
    }

    /*
     * Failure: a key is withdrawn at one entry, and another entry continues the streams that it serves for the key. The
     * other entry receives the change from the first and must report the withdrawn keys to its listeners.
     */
    @Test
    void withdrawnKeyIsReportedAtAnotherEntry() throws InterruptedException {
        ReplicatedConfiguration first = start("entry-1", firstLinks);
        ReplicatedConfiguration second = start("entry-2", secondLinks);
        firstLinks.connect(secondLinks);
        List<Set<KeyDigest>> withdrawn = new CopyOnWriteArrayList<>();
        second.addListener((before, after, keys) -> withdrawn.add(keys));
        Submitter submitter = submitter(first);
        String key = "{'schemaVersion':1,'account':'acme','digest':'" + DIGEST.toHexadecimal() + "'}";
        assertThat(submitter.submit(account(0, 0)).result().isAccepted()).isTrue();
        assertThat(submitter
                        .submit(submission("key", 1, RecordKind.KEY, "key", key))
                        .otherHolderCount())
                .isEqualTo(1);
        assertThat(second.current().key(DIGEST)).isPresent();
        submitter.submit(submission("withdrawal", 2, RecordKind.KEY, "key", null));
        await(() -> withdrawn.contains(Set.of(DIGEST)));
        assertThat(second.current().key(DIGEST)).isEmpty();
    }

    /*
     * Failure: the start of a new instance takes longer the longer the system runs, since it reads every change ever made.
     * After enough changes the table holds a snapshot, from which an instance starts if the log does not reach back to its
     * revision.
     */
    @Test
    void newInstanceStartsFromTheSnapshotInTheTable() throws Exception {
        ReplicatedConfiguration first = start("entry-1", firstLinks);
        Submitter submitter = submitter(first);
        for (int number = 0; number < 25; number++) {
            assertThat(submitter.submit(account(number, number)).result().isAccepted())
                    .isTrue();
        }
        start("entry-2", secondLinks);
        await(() -> isPresent(ConfigurationRows.SNAPSHOT));
        deleteLogUpTo(ConfigurationRows.readPointer(
                        table.read(ConfigurationRows.SNAPSHOT).orElseThrow().value())
                .revision());
        ReplicatedConfiguration joined = start("entry-2", new InMemoryLinks("entry-2", "entry"));
        await(() -> joined.current().revision() == 25);
        assertThat(joined.current().entries()).hasSize(1);
        assertThat(joined.reasonNotReady()).isEmpty();
    }

    private boolean isPresent(RowKey key) {
        try {
            return table.read(key).isPresent();
        } catch (PlatformException unavailable) {
            return false;
        }
    }

    private void deleteLogUpTo(long revision) throws Exception {
        for (long old = 1; old <= revision; old++) {
            table.commit(Transaction.empty().withDelete(ConfigurationRows.logKey(old)));
        }
    }

    /*
     * Failure: an instance that has never had a configuration answers callers that their keys are unknown. While the table
     * is unavailable and there is no peer, it must refuse with a retry-after time and must not be ready.
     */
    @Test
    void instanceWithoutConfigurationRefusesWithRetryAfter() {
        table.setUnavailable(true);
        ReplicatedConfiguration alone = start("entry-1", firstLinks);
        ServingException refusal = catchThrowableOfType(ServingException.class, alone::requireFresh);
        assertThat(refusal.code()).isEqualTo(ResultCode.NOT_FRESH);
        assertThat(refusal.retryAfter()).isPresent();
        assertThat(alone.reasonNotReady()).isPresent();
    }
}
