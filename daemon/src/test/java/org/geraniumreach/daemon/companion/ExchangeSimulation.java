package org.geraniumreach.daemon.companion;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.google.protobuf.ByteString;
import org.geraniumreach.link.AttemptHandle;
import org.geraniumreach.link.AttemptListener;
import org.geraniumreach.link.Attempts.SealOutcome;
import org.geraniumreach.link.LinkAttempts;
import org.geraniumreach.link.LinkSettings;
import org.geraniumreach.messages.End;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.Hello;
import org.geraniumreach.messages.Refused;
import org.geraniumreach.messages.Run;
import org.geraniumreach.messages.Status;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.ExecutionStatus;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.KeyDigest;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.model.record.RecordKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs the real code of both ends of the attempt protocol with simulated links, clock, target and restarts, and checks
 * that each caller gets its own chunks, each once and in order, and one end; that an attempt starts at most once; and
 * that none starts that was reported as not run.
 */
final class ExchangeSimulation {

    private static final InstanceId COMPANION = InstanceId.of("companion-1");
    private static final Duration SILENCE_LIMIT = Duration.ofSeconds(2);

    /**
     * How long frames of an old link may be read after the first frame of a newer link; a real companion closes the old
     * link at once.
     */
    private static final Duration OLD_LINK_READ_LIMIT = Duration.ofSeconds(10);

    private static final String SECRET = "secret-1";

    private final FakeConfiguration configuration = new FakeConfiguration();
    private final Map<String, Integer> starts = new HashMap<>();
    private final Set<String> reportedNotRun = new HashSet<>();
    private final Map<String, Caller> callers = new HashMap<>();
    private final List<Caller> callersInOrder = new ArrayList<>();
    private final LinkSettings linkSettings = LinkSettings.defaults();
    private final List<FakeLinks.Link> companionLinks = new ArrayList<>();
    private final FakeLinks links;
    private final LinkAttempts attempts;
    private Runnable entryTick = () -> {};
    private FakeLinks.Link link;
    private long now = 1;
    private long lastProgressAt = 1;
    private long newLinkReadAt;
    private long incarnation;
    private AttemptShards shards;
    private AttemptLifecycle lifecycle;
    private AttemptRequestHandler requestHandler;
    private FakeRunner runner;

    ExchangeSimulation() {
        configuration.put(RecordKind.ACCOUNT, "winders", "{\"schemaVersion\":1,\"rate\":1000,\"burst\":1000}");
        configuration.put(
                RecordKind.KEY,
                "key-1",
                "{\"schemaVersion\":1,\"account\":\"winders\",\"digest\":\""
                        + KeyDigest.ofSecret(SECRET).toHexadecimal() + "\"}");
        configuration.put(
                RecordKind.SERVICE,
                "job-cards",
                "{\"schemaVersion\":1,\"operations\":{\"book\":{\"repeatable\":false,\"tokens\":1}}}");
        configuration.put(
                RecordKind.TARGET,
                "target-1",
                "{\"schemaVersion\":1,\"failureDomain\":\"d1\",\"service\":\"job-cards\",\"checksFence\":true}");
        startCompanion();
        links = new FakeLinks(hello("entry-1", 1), hello("companion-1", incarnation));
        attempts = LinkAttempts.start(
                links, linkSettings, () -> now, new CapturedTimer(task -> entryTick = task), (event, detail) -> {
                    throw new AssertionError(event + " " + detail);
                });
        reconnect();
    }

    private static Hello hello(String instance, long incarnationNumber) {
        return Hello.newBuilder()
                .setProtocolVersion(1)
                .setInstance(instance)
                .setIncarnation(incarnationNumber)
                .build();
    }

    private void startCompanion() {
        incarnation++;
        CompanionSettings defaults = CompanionSettings.defaults();
        CompanionSettings settings = new CompanionSettings(
                defaults.queue(),
                defaults.loads(),
                defaults.bufferedChunks(),
                Duration.ofSeconds(60),
                64,
                defaults.orphanLimit(),
                defaults.statusInterval(),
                defaults.engineCheckAge(),
                defaults.orderLimit(),
                defaults.fenceCheckInterval(),
                defaults.adoptionLimit());
        CompanionDependencies dependencies = new CompanionDependencies(
                COMPANION,
                incarnation,
                TargetId.of("target-1"),
                new FakeLinks(hello("entry-1", 1), hello("companion-1", incarnation)),
                configuration,
                new FakeTable(),
                Optional.empty(),
                Optional.of((attempt, account, operation, body) -> body),
                () -> now,
                InstantSource.system());
        shards = new AttemptShards(settings, () -> now);
        StartCheck startCheck = new StartCheck(dependencies);
        lifecycle = new AttemptLifecycle(shards, startCheck);
        runner = new FakeRunner();
        requestHandler = new AttemptRequestHandler(settings, dependencies, shards, lifecycle, startCheck, runner);
    }

    /** A caller at the entry, and what it has received. */
    private final class Caller implements AttemptListener {
        private final String id;
        private final int expectedChunks;
        private final long companionIncarnation;
        private AttemptHandle handle;
        private long chunks;
        private int ends;
        private boolean isComplete;

        private Caller(String id, int expectedChunks, long companionIncarnation) {
            this.id = id;
            this.companionIncarnation = companionIncarnation;
            this.expectedChunks = expectedChunks;
        }

        private void recordExecution(int executionStatus) {
            if (executionStatus == ExecutionStatus.NO.ordinal()) {
                reportedNotRun.add(id);
            }
        }

        @Override
        public void onAccepted() {
            assertThat(ends).isZero();
        }

        @Override
        public void onChunk(long sequence, ByteString payload, int tokens) {
            assertThat(ends).isZero();
            assertThat(sequence).isEqualTo(chunks);
            assertThat(payload.toStringUtf8()).isEqualTo(id + "/" + chunks);
            chunks++;
        }

        @Override
        public void onEnded(End end) {
            assertThat(chunks).isEqualTo(expectedChunks);
            isComplete = true;
            ends++;
        }

        @Override
        public void onRefused(Refused refused) {
            recordExecution(refused.getRan());
            ends++;
        }

        @Override
        public void onLost(ExecutionStatus executionStatus, String reason) {
            recordExecution(executionStatus.ordinal());
            ends++;
        }
    }

    /** A target that starts and continues attempts as the test directs. */
    private final class FakeRunner implements TargetRunner, AttemptRequestHandler.RunnerProvider {
        private final List<CompanionAttempt> waiting = new ArrayList<>();
        private final List<CompanionAttempt> running = new ArrayList<>();
        private final Map<AttemptId, Integer> demand = new HashMap<>();

        @Override
        public TargetRunner forNewWork() {
            return this;
        }

        @Override
        public Optional<TargetRunner> current() {
            return Optional.of(this);
        }

        @Override
        public void submit(CompanionAttempt attempt) {
            waiting.add(attempt);
        }

        @Override
        public void withdraw(CompanionAttempt attempt) {
            waiting.remove(attempt);
        }

        @Override
        public void cancel(CompanionAttempt attempt) {
            running.remove(attempt);
        }

        @Override
        public void tick() {}

        @Override
        public void describe(Status.Builder status) {}

        @Override
        public int unfinishedCount() {
            return waiting.size() + running.size();
        }

        private void startNext() {
            if (waiting.isEmpty()) {
                return;
            }
            CompanionAttempt attempt = waiting.remove(0);
            if (lifecycle.start(attempt)) {
                starts.merge(attempt.id().value(), 1, Integer::sum);
                attempt.open();
                running.add(attempt);
            }
        }

        private void continueAttempt(int index) {
            if (running.isEmpty()) {
                return;
            }
            CompanionAttempt attempt = running.get(index % running.size());
            int outstandingDemand = demand.merge(attempt.id(), attempt.takeDemand(), Integer::sum);
            long sequence = attempt.nextExpectedSequence();
            int expectedChunks = callers.get(attempt.id().value()).expectedChunks;
            if (sequence < expectedChunks && outstandingDemand > 0) {
                demand.merge(attempt.id(), -1, Integer::sum);
                ByteString payload = ByteString.copyFromUtf8(attempt.id() + "/" + sequence);
                attempt.add(Frames.chunk(attempt.id(), sequence, payload, 1));
            } else if (sequence == expectedChunks) {
                running.remove(attempt);
                lifecycle.end(
                        attempt,
                        End.newBuilder()
                                .setAttempt(attempt.id().value())
                                .setCount(expectedChunks)
                                .build());
            }
        }
    }

    void send(int chunks, boolean repeatable, int credit) {
        String id = "attempt-" + (callersInOrder.size() + 1);
        Caller caller = new Caller(id, chunks, incarnation);
        callers.put(id, caller);
        callersInOrder.add(caller);
        Run run = Run.newBuilder()
                .setAttempt(id)
                .setDeadlineLeftMillis(120_000)
                .setAccount("winders")
                .setKeyDigest(ByteString.copyFrom(KeyDigest.ofSecret(SECRET).toBytes()))
                .setService("job-cards")
                .setOperation("book")
                .setRepeatable(repeatable)
                .setCredit(credit)
                .build();
        caller.handle = attempts.run(COMPANION, run, caller);
    }

    private Optional<Caller> caller(int index) {
        return callersInOrder.isEmpty()
                ? Optional.empty()
                : Optional.of(callersInOrder.get(index % callersInOrder.size()));
    }

    void request(int index, int chunks) {
        caller(index).ifPresent(caller -> caller.handle.request(chunks));
    }

    void cancel(int index) {
        caller(index).ifPresent(caller -> caller.handle.cancel("cancelled by the test"));
    }

    void seal(int index) {
        caller(index).ifPresent(caller -> {
            try {
                attempts.seal(COMPANION, caller.id, caller.companionIncarnation, Duration.ofNanos(now), outcome -> {
                    if (outcome == SealOutcome.NEVER_STARTED) {
                        reportedNotRun.add(caller.id);
                    }
                });
            } catch (IllegalArgumentException alreadyBeingSealed) {
                return;
            }
        });
    }

    void deliverToCompanion(int linkIndex, int position, boolean isDuplicated) {
        if (companionLinks.isEmpty()) {
            return;
        }
        FakeLinks.Link source = companionLinks.get(linkIndex % companionLinks.size());
        if (companionLinks.indexOf(source) > 0 && newLinkReadAt == 0) {
            newLinkReadAt = now;
        }
        source.takeForCompanion(position).ifPresent(frame -> {
            receive(source, frame);
            if (isDuplicated) {
                receive(source, frame);
            }
        });
        recordProgress();
    }

    private void receive(FakeLinks.Link source, Frame frame) {
        if (source.companionEnd.isOpen()) {
            requestHandler.onFrame(source.companionEnd, frame);
        }
    }

    void deliverToEntry(int position) {
        link.deliverToEntry(position);
        recordProgress();
    }

    void duplicateToEntry() {
        link.duplicateToEntry();
    }

    private void recordProgress() {
        lastProgressAt = now;
    }

    void startNext() {
        runner.startNext();
    }

    void continueAttempt(int index) {
        runner.continueAttempt(index);
    }

    /**
     * Advances the clock. The entry gives up a link that has been silent for too long, as it would after missed
     * heartbeats.
     */
    void advance(Duration elapsed) {
        now += elapsed.toNanos();
        if (!link.isIdle() && now - lastProgressAt > SILENCE_LIMIT.toNanos()) {
            reconnect();
        }
        if (newLinkReadAt != 0 && now - newLinkReadAt > OLD_LINK_READ_LIMIT.toNanos()) {
            companionSeesNewLink();
        }
        tick();
    }

    private void tick() {
        entryTick.run();
        requestHandler.tick();
    }

    /** Closes the link at the entry and opens a new one; the companion keeps the old one until it sees the new one. */
    void reconnect() {
        if (link != null) {
            links.closeAtEntry(link);
        }
        link = links.open();
        companionLinks.add(link);
        recordProgress();
    }

    /** Closes the older links at the companion. */
    void companionSeesNewLink() {
        newLinkReadAt = 0;
        while (companionLinks.size() > 1) {
            FakeLinks.Link oldLink = companionLinks.remove(0);
            oldLink.companionEnd.close("superseded");
            shards.all().forEach(attempt -> attempt.onLinkClosed(oldLink.companionEnd, now));
        }
    }

    void restartCompanion() {
        links.closeAtEntry(link);
        companionLinks.clear();
        startCompanion();
        links.setCompanionHello(hello("companion-1", incarnation));
        link = links.open();
        companionLinks.add(link);
        recordProgress();
    }

    /** Ends all faults and runs everything to its end. */
    void settle() {
        reconnect();
        companionSeesNewLink();
        for (int round = 0; round < 400; round++) {
            callersInOrder.forEach(caller -> caller.handle.request(4));
            while (!link.isIdle()) {
                deliverToCompanion(0, 0, false);
                deliverToEntry(0);
            }
            startNext();
            for (int index = 0; index < 4 * runner.running.size(); index++) {
                continueAttempt(index);
            }
            now += 10_000_000;
            tick();
        }
    }

    void check() {
        starts.forEach((id, count) -> assertThat(count).as("starts of " + id).isEqualTo(1));
        reportedNotRun.forEach(
                id -> assertThat(starts).as("reported as not run").doesNotContainKey(id));
        callersInOrder.forEach(caller -> assertThat(caller.ends).isLessThanOrEqualTo(1));
    }

    void checkSettled() {
        check();
        callersInOrder.forEach(
                caller -> assertThat(caller.ends).as("ends of " + caller.id).isEqualTo(1));
        callersInOrder.stream().filter(caller -> caller.isComplete).forEach(caller -> assertThat(caller.chunks)
                .isEqualTo(caller.expectedChunks));
    }

    long completeAnswers() {
        return callersInOrder.stream().filter(caller -> caller.isComplete).count();
    }
}
