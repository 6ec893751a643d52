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

import org.geraniumreach.coordination.membership.LinkChoice;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.record.LogEntry;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Some configuration nodes around a table, with the clock, the network and the table in the hands of a test; after every
 * event it checks what must hold.
 */
final class FakeWorld {

    static final long MILLISECOND = 1_000_000;
    static final Duration PERIOD = Duration.ofSeconds(1);
    static final Duration LIMIT = Duration.ofSeconds(4);
    private static final long TIMEOUT = 800 * MILLISECOND;

    final FakeTable table = new FakeTable();
    final Map<InstanceId, Process> processes = new TreeMap<>();
    final Map<String, SubmissionResult> results = new HashMap<>();
    final Set<InstanceId> cutFromTable = new HashSet<>();
    final Set<InstanceId> cutFromPeers = new HashSet<>();
    boolean tableDown;
    long tableDelay;
    double lossOfAnswers;
    double lossOfMessages;
    long messageDelay;
    long now = 1_000 * MILLISECOND;
    long polls;
    long notes;
    long words;

    private final Random random;
    private final Set<InstanceId> entries = new HashSet<>();
    private final Set<InstanceId> companions = new HashSet<>();
    private final Map<InstanceId, Set<InstanceId>> chosen = new HashMap<>();
    private final LinkChoice links;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final Map<Long, Set<LogEntry>> contentAt = new HashMap<>();
    private final TreeMap<Long, Long> acceptedAt = new TreeMap<>();
    private boolean restarted;
    private long order;

    record Event(long at, long order, Runnable action) {}

    /** One process; a restart makes a new one. */
    static final class Process {
        final InstanceId id;
        final ConfigurationNode node;
        long frozenUntil;
        boolean dead;
        long lastRevision;

        Process(InstanceId id, ConfigurationNode node) {
            this.id = id;
            this.node = node;
        }
    }

    FakeWorld(long seed, int entryCount, int companionCount) {
        this(seed, entryCount, companionCount, new LinkChoice(entryCount, 2, companionCount, entryCount));
    }

    FakeWorld(long seed, int entryCount, int companionCount, LinkChoice links) {
        this.links = links;
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
                id, new NodeOptions(PERIOD, LIMIT, 2, 2), () -> now, new Random(random.nextLong()));
        Process process = new Process(id, node);
        node.listed(entries);
        for (Process other : List.copyOf(processes.values())) {
            if (isLinked(id, other.id) || isLinked(other.id, id)) {
                connect(process, other);
            }
        }
        processes.put(id, process);
        tick(process);
    }

    private boolean isLinked(InstanceId keeper, InstanceId other) {
        return entries.contains(keeper)
                && chosen.computeIfAbsent(keeper, this::choose).contains(other);
    }

    private Set<InstanceId> choose(InstanceId keeper) {
        Set<InstanceId> choice = new HashSet<>(links.entries(keeper, entries));
        choice.addAll(links.companions(keeper, entries, companions));
        return choice;
    }

    void restart(InstanceId id) {
        Process old = processes.remove(id);
        old.dead = true;
        processes.values().forEach(process -> process.node.closed(id));
        start(id);
    }

    /**
     * Restarts a process, unless another has restarted since all were last known to be up to date: what only two processes
     * hold in memory while the table is away is lost when both go, which is outside of the promise.
     */
    void restartOnce(InstanceId id) {
        boolean settled = processes.values().stream()
                .allMatch(process -> process.node.configuration().revision() == table.head() && isFresh(process.id));
        if (settled) {
            restarted = false;
        }
        if (!restarted) {
            restarted = true;
            restart(id);
        }
    }

    void freeze(InstanceId id, long nanos) {
        processes.get(id).frozenUntil = now + nanos;
    }

    private void connect(Process one, Process other) {
        run(one, () -> perform(one, one.node.opened(other.id, entries.contains(other.id))));
        run(other, () -> perform(other, other.node.opened(one.id, entries.contains(one.id))));
    }

    private void tick(Process process) {
        run(process, () -> {
            perform(process, process.node.tick());
            at(100 * MILLISECOND, () -> tick(process));
        });
    }

    void at(long delay, Runnable action) {
        events.add(new Event(now + delay, order++, action));
    }

    /** Runs what a process does, once it is not frozen, and not at all if it is dead. */
    private void run(Process process, Runnable action) {
        if (process.dead) {
            return;
        }
        if (process.frozenUntil > now) {
            at(process.frozenUntil - now, () -> run(process, action));
            return;
        }
        action.run();
        check(process);
    }

    void runFor(Duration duration) {
        long end = now + duration.toNanos();
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
        }
        now = end;
        processes.values().stream()
                .filter(process -> process.frozenUntil <= now)
                .forEach(this::check);
    }

    private void perform(Process process, List<NodeAction> actions) {
        for (NodeAction action : actions) {
            if (action instanceof NodeAction.Send send) {
                send(process, send);
            } else if (action instanceof NodeAction.Poll poll) {
                poll(process, poll.haveRevision(), () -> {});
            }
        }
    }

    private void send(Process from, NodeAction.Send send) {
        if (send.message() instanceof NodeMessage.Note note) {
            notes++;
            words += note.words().size();
        }
        Process to = processes.get(send.peer());
        if (to == null || random.nextDouble() < lossOfMessages) {
            return;
        }
        int copies = lossOfMessages > 0 && random.nextInt(8) == 0 ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            long delay = MILLISECOND + (messageDelay == 0 ? 0 : random.nextLong(messageDelay));
            at(delay, () -> deliver(from, to, send.message()));
        }
    }

    private void deliver(Process from, Process to, NodeMessage message) {
        boolean cut = cutFromPeers.contains(from.id) != cutFromPeers.contains(to.id);
        if (cut || from.dead) {
            return;
        }
        run(to, () -> perform(to, to.node.received(from.id, message)));
    }

    private boolean tableReaches(Process process) {
        return !tableDown && !cutFromTable.contains(process.id);
    }

    /** Calls the table: the effect comes after a delay, and the answer after another or never. */
    private <T> void call(Process process, Supplier<T> effect, Consumer<T> answer, Runnable failure) {
        long delay = MILLISECOND + (tableDelay == 0 ? 0 : random.nextLong(tableDelay));
        boolean[] finished = {false};
        at(
                TIMEOUT,
                () -> run(process, () -> {
                    if (!finished[0]) {
                        finished[0] = true;
                        failure.run();
                    }
                }));
        at(delay, () -> {
            if (!tableReaches(process)) {
                return;
            }
            T result = effect.get();
            if (random.nextDouble() >= lossOfAnswers) {
                at(
                        delay,
                        () -> run(process, () -> {
                            if (!finished[0]) {
                                finished[0] = true;
                                answer.accept(result);
                            }
                        }));
            }
        });
    }

    private void poll(Process process, long haveRevision, Runnable then) {
        polls++;
        long startedAt = now;
        call(
                process,
                () -> table.poll(startedAt, haveRevision),
                answer -> {
                    perform(process, process.node.polled(answer));
                    then.run();
                },
                () -> {
                    process.node.pollFailed();
                    then.run();
                });
    }

    void submit(InstanceId at, Submission submission) {
        Process process = processes.get(at);
        run(process, () -> {
            SubmissionProcess running = new SubmissionProcess(
                    submission, process.node.configuration(), () -> now, random, Duration.ofSeconds(5));
            step(process, submission, running, running.start());
        });
    }

    private void step(Process process, Submission submission, SubmissionProcess running, SubmissionStep step) {
        if (step instanceof SubmissionStep.Read read) {
            call(
                    process,
                    () -> table.read(read.key()),
                    row -> step(process, submission, running, running.read(row)),
                    () -> step(process, submission, running, running.readFailed()));
        } else if (step instanceof SubmissionStep.Commit commit) {
            call(
                    process,
                    () -> table.commit(commit.transaction()),
                    done -> step(process, submission, running, running.committed(done)),
                    () -> step(process, submission, running, running.commitFailed(true)));
        } else if (step instanceof SubmissionStep.CatchUp) {
            poll(
                    process,
                    process.node.configuration().revision(),
                    () -> step(process, submission, running, running.caughtUp(process.node.configuration())));
        } else if (step instanceof SubmissionStep.Wait wait) {
            at(
                    wait.duration().toNanos(),
                    () -> run(process, () -> step(process, submission, running, running.waited())));
        } else if (step instanceof SubmissionStep.Done done) {
            finish(process, submission, done.result());
        }
    }

    private void finish(Process process, Submission submission, SubmissionResult result) {
        results.put(submission.operation(), result);
        if (result.isAccepted()) {
            LogEntry entry = result.entry().orElseThrow();
            assertThat(table.log().stream().filter(other -> other.operation().equals(submission.operation())))
                    .containsExactly(entry);
            perform(process, process.node.committed(List.of(entry)));
            awaitHolder(process, entry.revision(), now + 1_000 * MILLISECOND);
        }
    }

    /** Says accepted to the operator when another entry holds the change. */
    private void awaitHolder(Process process, long revision, long deadline) {
        if (process.node.otherEntriesHolding(revision) > 0) {
            acceptedAt.putIfAbsent(revision, now);
        } else if (now < deadline) {
            at(20 * MILLISECOND, () -> run(process, () -> awaitHolder(process, revision, deadline)));
        }
    }

    boolean isFresh(InstanceId id) {
        Process process = processes.get(id);
        return process.frozenUntil <= now && now < process.node.freshUntil();
    }

    private void check(Process process) {
        ConfigurationNode node = process.node;
        long revision = node.configuration().revision();
        assertThat(revision).as("revision at %s", process.id).isGreaterThanOrEqualTo(process.lastRevision);
        if (revision != process.lastRevision) {
            Set<LogEntry> content = new HashSet<>(node.configuration().entries());
            assertThat(content)
                    .as("content of %s at revision %d", process.id, revision)
                    .isEqualTo(contentAt.computeIfAbsent(revision, key -> content));
            process.lastRevision = revision;
        }
        if (now < node.freshUntil()) {
            long due = acceptedAt.entrySet().stream()
                    .filter(accepted -> accepted.getValue() <= now - LIMIT.toNanos())
                    .mapToLong(Map.Entry::getKey)
                    .max()
                    .orElse(0);
            assertThat(revision).as("revision served by %s", process.id).isGreaterThanOrEqualTo(due);
        }
    }

    /** Checks that the log is contiguous and holds each operation once. */
    void checkLog() {
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
            boolean known = result.isAccepted() || result.code() == ResultCode.SUBMISSION_UNSETTLED;
            if (logged) {
                assertThat(known)
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
