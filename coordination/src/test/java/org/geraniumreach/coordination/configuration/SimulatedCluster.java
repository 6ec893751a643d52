package org.geraniumreach.coordination.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.geraniumreach.coordination.membership.LinkSelector;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.record.LogEntry;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A deterministic simulation of configuration nodes with a shared table, in which a test controls the clock, the network and
 * the table. Checks the invariants after every event.
 */
final class SimulatedCluster {

    static final long NANOS_PER_MILLISECOND = 1_000_000;
    static final Duration PERIOD = Duration.ofSeconds(1);
    static final Duration FRESHNESS_LIMIT = Duration.ofSeconds(4);
    private static final long TABLE_TIMEOUT_NANOS = 800 * NANOS_PER_MILLISECOND;

    final InMemoryTable table = new InMemoryTable();
    final Map<InstanceId, Process> processes = new TreeMap<>();
    final Map<String, SubmissionResult> results = new HashMap<>();
    final Set<InstanceId> disconnectedFromTable = new HashSet<>();
    final Set<InstanceId> disconnectedFromPeers = new HashSet<>();
    boolean tableDown;
    long maxTableDelayNanos;
    double tableResponseLossRate;
    double messageLossRate;
    long maxMessageDelayNanos;
    long nowNanos = 1_000 * NANOS_PER_MILLISECOND;
    long pollCount;
    long heartbeatCount;
    long reportCount;

    private final Random random;
    private final Set<InstanceId> entries = new HashSet<>();
    private final Set<InstanceId> companions = new HashSet<>();
    private final Map<InstanceId, Set<InstanceId>> selectedPeers = new HashMap<>();
    private final LinkSelector linkSelector;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::dueAt).thenComparingLong(Event::order));
    private final Map<Long, Set<LogEntry>> contentByRevision = new HashMap<>();
    private final TreeMap<Long, Long> acceptedAtByRevision = new TreeMap<>();
    private boolean restartedSinceConvergence;
    private long nextEventOrder;

    record Event(long dueAt, long order, Runnable action) {}

    /** A simulated process; a restart creates a new one. */
    static final class Process {
        final InstanceId id;
        final ConfigurationNode node;
        long frozenUntil;
        boolean isDead;
        long lastRevision;

        Process(InstanceId id, ConfigurationNode node) {
            this.id = id;
            this.node = node;
        }
    }

    SimulatedCluster(long seed, int entryCount, int companionCount) {
        this(seed, entryCount, companionCount, new LinkSelector(entryCount, 2, companionCount, entryCount));
    }

    SimulatedCluster(long seed, int entryCount, int companionCount, LinkSelector linkSelector) {
        this.linkSelector = linkSelector;
        random = new Random(seed);
        for (int index = 0; index < entryCount; index++) {
            entries.add(InstanceId.of("entry-" + index));
        }
        for (int index = 0; index < companionCount; index++) {
            companions.add(InstanceId.of("companion-" + index));
        }
        entries.stream().sorted().forEach(this::start);
        companions.stream().sorted().forEach(this::start);
    }

    void start(InstanceId id) {
        ConfigurationNode node = new ConfigurationNode(
                id, new NodeOptions(PERIOD, FRESHNESS_LIMIT, 2, 2), () -> nowNanos, new Random(random.nextLong()));
        Process process = new Process(id, node);
        node.onEntriesListed(entries);
        for (Process other : List.copyOf(processes.values())) {
            if (keepsLink(id, other.id) || keepsLink(other.id, id)) {
                connect(process, other);
            }
        }
        processes.put(id, process);
        tick(process);
    }

    private boolean keepsLink(InstanceId owner, InstanceId other) {
        return entries.contains(owner)
                && selectedPeers.computeIfAbsent(owner, this::selectPeers).contains(other);
    }

    private Set<InstanceId> selectPeers(InstanceId owner) {
        Set<InstanceId> selection = new HashSet<>(linkSelector.selectEntries(owner, entries));
        selection.addAll(linkSelector.selectCompanions(owner, entries, companions));
        return selection;
    }

    void restart(InstanceId id) {
        Process old = processes.remove(id);
        old.isDead = true;
        processes.values().forEach(process -> process.node.onLinkClosed(id));
        start(id);
    }

    /**
     * Restarts a process unless another one has restarted since all were last up to date. A change that only two processes
     * hold in memory during a table outage is lost if both restart; that case is not guaranteed.
     */
    void restartIfTolerated(InstanceId id) {
        boolean converged = processes.values().stream()
                .allMatch(process ->
                        process.node.configuration().revision() == table.headRevision() && isFresh(process.id));
        if (converged) {
            restartedSinceConvergence = false;
        }
        if (!restartedSinceConvergence) {
            restartedSinceConvergence = true;
            restart(id);
        }
    }

    void freeze(InstanceId id, long nanos) {
        processes.get(id).frozenUntil = nowNanos + nanos;
    }

    private void connect(Process one, Process other) {
        runUnlessFrozen(one, () -> perform(one, one.node.onLinkOpened(other.id, entries.contains(other.id))));
        runUnlessFrozen(other, () -> perform(other, other.node.onLinkOpened(one.id, entries.contains(one.id))));
    }

    private void tick(Process process) {
        runUnlessFrozen(process, () -> {
            perform(process, process.node.onTick());
            schedule(100 * NANOS_PER_MILLISECOND, () -> tick(process));
        });
    }

    void schedule(long delay, Runnable action) {
        events.add(new Event(nowNanos + delay, nextEventOrder++, action));
    }

    /** Runs an action of a process, after its suspension ends if it is frozen, and not at all if it is dead. */
    private void runUnlessFrozen(Process process, Runnable action) {
        if (process.isDead) {
            return;
        }
        if (process.frozenUntil > nowNanos) {
            schedule(process.frozenUntil - nowNanos, () -> runUnlessFrozen(process, action));
            return;
        }
        action.run();
        assertInvariants(process);
    }

    void runFor(Duration duration) {
        long end = nowNanos + duration.toNanos();
        while (!events.isEmpty() && events.peek().dueAt() <= end) {
            Event event = events.poll();
            nowNanos = event.dueAt();
            event.action().run();
        }
        nowNanos = end;
        processes.values().stream()
                .filter(process -> process.frozenUntil <= nowNanos)
                .forEach(this::assertInvariants);
    }

    private void perform(Process process, List<NodeAction> actions) {
        for (NodeAction action : actions) {
            if (action instanceof NodeAction.Send send) {
                send(process, send);
            } else if (action instanceof NodeAction.Poll poll) {
                poll(process, poll.heldRevision(), () -> {});
            }
        }
    }

    private void send(Process from, NodeAction.Send send) {
        if (send.message() instanceof NodeMessage.Heartbeat heartbeat) {
            heartbeatCount++;
            reportCount += heartbeat.unreachableReports().size();
        }
        Process to = processes.get(send.peer());
        if (to == null || random.nextDouble() < messageLossRate) {
            return;
        }
        int copies = messageLossRate > 0 && random.nextInt(8) == 0 ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            long delay =
                    NANOS_PER_MILLISECOND + (maxMessageDelayNanos == 0 ? 0 : random.nextLong(maxMessageDelayNanos));
            schedule(delay, () -> deliver(from, to, send.message()));
        }
    }

    private void deliver(Process from, Process to, NodeMessage message) {
        boolean isPartitioned = disconnectedFromPeers.contains(from.id) != disconnectedFromPeers.contains(to.id);
        if (isPartitioned || from.isDead) {
            return;
        }
        runUnlessFrozen(to, () -> perform(to, to.node.onMessage(from.id, message)));
    }

    private boolean canReachTable(Process process) {
        return !tableDown && !disconnectedFromTable.contains(process.id);
    }

    /** Calls the table. The effect occurs after a delay; the answer follows after the same delay or is lost. */
    private <T> void callTable(Process process, Supplier<T> effect, Consumer<T> answer, Runnable failure) {
        long delay = NANOS_PER_MILLISECOND + (maxTableDelayNanos == 0 ? 0 : random.nextLong(maxTableDelayNanos));
        boolean[] finished = {false};
        schedule(
                TABLE_TIMEOUT_NANOS,
                () -> runUnlessFrozen(process, () -> {
                    if (!finished[0]) {
                        finished[0] = true;
                        failure.run();
                    }
                }));
        schedule(delay, () -> {
            if (!canReachTable(process)) {
                return;
            }
            T result = effect.get();
            if (random.nextDouble() >= tableResponseLossRate) {
                schedule(
                        delay,
                        () -> runUnlessFrozen(process, () -> {
                            if (!finished[0]) {
                                finished[0] = true;
                                answer.accept(result);
                            }
                        }));
            }
        });
    }

    private void poll(Process process, long heldRevision, Runnable continuation) {
        pollCount++;
        long startedAt = nowNanos;
        callTable(
                process,
                () -> table.poll(startedAt, heldRevision),
                answer -> {
                    perform(process, process.node.onPollCompleted(answer));
                    continuation.run();
                },
                () -> {
                    process.node.onPollFailed();
                    continuation.run();
                });
    }

    void submit(InstanceId at, Submission submission) {
        Process process = processes.get(at);
        runUnlessFrozen(process, () -> {
            SubmissionProcess submissionProcess = new SubmissionProcess(
                    submission, process.node.configuration(), () -> nowNanos, random, Duration.ofSeconds(5));
            performStep(process, submission, submissionProcess, submissionProcess.start());
        });
    }

    private void performStep(
            Process process, Submission submission, SubmissionProcess submissionProcess, SubmissionStep step) {
        if (step instanceof SubmissionStep.Read read) {
            callTable(
                    process,
                    () -> table.read(read.key()),
                    row -> performStep(process, submission, submissionProcess, submissionProcess.onRowRead(row)),
                    () -> performStep(process, submission, submissionProcess, submissionProcess.onReadFailed()));
        } else if (step instanceof SubmissionStep.Commit commit) {
            callTable(
                    process,
                    () -> table.commit(commit.transaction()),
                    tookEffect -> performStep(
                            process, submission, submissionProcess, submissionProcess.onCommitAnswered(tookEffect)),
                    () -> performStep(process, submission, submissionProcess, submissionProcess.onCommitFailed(true)));
        } else if (step instanceof SubmissionStep.CatchUp) {
            poll(
                    process,
                    process.node.configuration().revision(),
                    () -> performStep(
                            process,
                            submission,
                            submissionProcess,
                            submissionProcess.onCaughtUp(process.node.configuration())));
        } else if (step instanceof SubmissionStep.Wait wait) {
            schedule(
                    wait.duration().toNanos(),
                    () -> runUnlessFrozen(
                            process,
                            () -> performStep(
                                    process, submission, submissionProcess, submissionProcess.onWaitFinished())));
        } else if (step instanceof SubmissionStep.Done done) {
            onSubmissionDone(process, submission, done.result());
        }
    }

    private void onSubmissionDone(Process process, Submission submission, SubmissionResult result) {
        results.put(submission.operation(), result);
        if (result.isAccepted()) {
            LogEntry entry = result.entry().orElseThrow();
            assertThat(table.log().stream().filter(other -> other.operation().equals(submission.operation())))
                    .containsExactly(entry);
            perform(process, process.node.onCommitted(List.of(entry)));
            awaitReplication(process, entry.revision(), nowNanos + 1_000 * NANOS_PER_MILLISECOND);
        }
    }

    /** Reports the change as accepted once another entry holds it, unless the deadline passes first. */
    private void awaitReplication(Process process, long revision, long deadline) {
        if (process.node.countOtherEntriesHolding(revision) > 0) {
            acceptedAtByRevision.putIfAbsent(revision, nowNanos);
        } else if (nowNanos < deadline) {
            schedule(
                    20 * NANOS_PER_MILLISECOND,
                    () -> runUnlessFrozen(process, () -> awaitReplication(process, revision, deadline)));
        }
    }

    boolean isFresh(InstanceId id) {
        Process process = processes.get(id);
        return process.frozenUntil <= nowNanos && nowNanos < process.node.freshUntil();
    }

    private void assertInvariants(Process process) {
        ConfigurationNode node = process.node;
        long revision = node.configuration().revision();
        assertThat(revision).as("revision at %s", process.id).isGreaterThanOrEqualTo(process.lastRevision);
        if (revision != process.lastRevision) {
            Set<LogEntry> content = new HashSet<>(node.configuration().entries());
            assertThat(content)
                    .as("content of %s at revision %d", process.id, revision)
                    .isEqualTo(contentByRevision.computeIfAbsent(revision, key -> content));
            process.lastRevision = revision;
        }
        if (nowNanos < node.freshUntil()) {
            long requiredRevision = acceptedAtByRevision.entrySet().stream()
                    .filter(accepted -> accepted.getValue() <= nowNanos - FRESHNESS_LIMIT.toNanos())
                    .mapToLong(Map.Entry::getKey)
                    .max()
                    .orElse(0);
            assertThat(revision).as("revision served by %s", process.id).isGreaterThanOrEqualTo(requiredRevision);
        }
    }

    /** Checks that the log is contiguous, holds each operation once and agrees with the reported results. */
    void assertLogConsistent() {
        List<LogEntry> log = table.log();
        Set<String> operations = new HashSet<>();
        List<Long> revisions = new ArrayList<>();
        for (LogEntry entry : log) {
            assertThat(operations.add(entry.operation())).isTrue();
            revisions.add(entry.revision());
        }
        for (int index = 0; index < revisions.size(); index++) {
            assertThat(revisions.get(index)).isEqualTo(index + 1);
        }
        results.forEach((operation, result) -> {
            boolean logged = operations.contains(operation);
            boolean reported = result.isAccepted() || result.code() == ResultCode.SUBMISSION_UNSETTLED;
            if (logged) {
                assertThat(reported)
                        .as("result of logged %s: %s", operation, result)
                        .isTrue();
            } else {
                assertThat(result.isAccepted())
                        .as("acceptance of %s", operation)
                        .isFalse();
            }
        });
    }

    Optional<SubmissionResult> result(String operation) {
        return Optional.ofNullable(results.get(operation));
    }
}
