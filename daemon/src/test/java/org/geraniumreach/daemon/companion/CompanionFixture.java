package org.geraniumreach.daemon.companion;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

import com.google.protobuf.ByteString;
import org.geraniumreach.link.Attempts;
import org.geraniumreach.link.LinkAttempts;
import org.geraniumreach.link.LinkNode;
import org.geraniumreach.link.LinkSettings;
import org.geraniumreach.messages.Hello;
import org.geraniumreach.messages.Run;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.KeyDigest;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.model.record.RecordKind;
import org.geraniumreach.ports.PlainService;
import org.geraniumreach.ports.PlatformException;

/** An entry and a companion connected over loopback, with a fake target, table and configuration. */
final class CompanionFixture implements AutoCloseable {

    static final InstanceId COMPANION = InstanceId.of("companion-1");
    private static final TargetId TARGET = TargetId.of("target-1");
    static final String SECRET = "secret-1";
    static final long FIRST_INCARNATION = 7;
    private static final Duration AWAIT_LIMIT = Duration.ofSeconds(30);

    final FakeEngine engine;
    final FakeTable table = new FakeTable();
    final FakeConfiguration configuration = new FakeConfiguration();
    final Attempts attempts;
    CompanionNode companion;
    private final PlainService service;
    private final CompanionSettings settings;
    private final MonotonicClock clock = MonotonicClock.system();
    private final AtomicLong pausedNanos = new AtomicLong();
    private final LinkNode entryLinks;
    private final LinkAttempts linkAttempts;
    private LinkNode companionLinks;
    private long incarnation = FIRST_INCARNATION;

    private CompanionFixture(FakeEngine engine, PlainService service, CompanionSettings settings, boolean checksFence)
            throws IOException {
        this.engine = engine;
        this.service = service;
        this.settings = settings;
        putRecords(engine != null, checksFence);
        entryLinks = LinkNode.create(LinkSettings.defaults(), () -> hello("entry-1", "entry"), (e, d) -> {});
        linkAttempts = LinkAttempts.start(entryLinks, LinkSettings.defaults(), clock, entryLinks.timer(), (e, d) -> {});
        attempts = linkAttempts;
        startCompanion();
    }

    private void startCompanion() throws IOException {
        companionLinks =
                LinkNode.create(LinkSettings.defaults(), () -> hello("companion-1", "companion"), (e, d) -> {});
        companion = CompanionNode.create(settings, dependencies(companionLinks, incarnation));
        InetSocketAddress address = companionLinks.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        entryLinks.keep(COMPANION, address);
        companion.start();
        long expected = incarnation;
        await(() -> entryLinks
                .find(COMPANION)
                .filter(peer -> peer.hello().getIncarnation() == expected)
                .isPresent());
    }

    /** Creates the dependencies of a companion of the same target. */
    CompanionDependencies dependencies(LinkNode links, long incarnationNumber) {
        return new CompanionDependencies(
                COMPANION,
                incarnationNumber,
                TARGET,
                links,
                configuration,
                table,
                Optional.ofNullable(engine),
                Optional.ofNullable(service),
                () -> clock.nanos() + pausedNanos.get(),
                InstantSource.system());
    }

    /** Closes the companion as a crash would, and starts its successor. */
    void replaceCompanion() throws IOException {
        companionLinks.close();
        companion.close();
        incarnation++;
        startCompanion();
    }

    /** Lets a second companion take the target over, while the first one still runs and is linked. */
    void takeTargetOver() throws PlatformException {
        new FencingTokenStore(table, TARGET, COMPANION, FIRST_INCARNATION + 1).acquire();
    }

    /** Advances the companion's clock, as it finds it after a pause of the process. */
    void pauseCompanion(Duration pause) {
        pausedNanos.addAndGet(pause.toNanos());
    }

    LinkNode companionLinks() {
        return companionLinks;
    }

    static CompanionFixture ofEngine(FakeEngine engine) throws IOException {
        return ofEngine(engine, CompanionSettings.defaults());
    }

    static CompanionFixture ofEngine(FakeEngine engine, CompanionSettings settings) throws IOException {
        CompanionFixture fixture = new CompanionFixture(engine, null, settings, true);
        await(() -> fixture.companion.reasonNotReady().isEmpty());
        return fixture;
    }

    static CompanionSettings settings(Duration engineCheckAge, Duration adoptionLimit) {
        CompanionSettings defaults = CompanionSettings.defaults();
        return new CompanionSettings(
                defaults.queue(),
                defaults.loads(),
                defaults.bufferedChunks(),
                defaults.attemptRetention(),
                defaults.retainedAttempts(),
                defaults.orphanLimit(),
                defaults.statusInterval(),
                engineCheckAge,
                defaults.orderLimit(),
                defaults.fenceCheckInterval(),
                adoptionLimit);
    }

    static CompanionFixture ofEngineThatChecksNoFence(FakeEngine engine) throws IOException {
        return new CompanionFixture(engine, null, CompanionSettings.defaults(), false);
    }

    static CompanionFixture ofServiceThatChecksNoFence(PlainService service) throws IOException {
        return new CompanionFixture(null, service, CompanionSettings.defaults(), false);
    }

    static CompanionFixture ofService(PlainService service) throws IOException {
        CompanionFixture fixture = new CompanionFixture(null, service, CompanionSettings.defaults(), true);
        await(() -> fixture.companion.reasonNotReady().isEmpty());
        return fixture;
    }

    private void putRecords(boolean isEngine, boolean checksFence) {
        configuration.put(RecordKind.ACCOUNT, "winders", "{\"schemaVersion\":1,\"rate\":1000,\"burst\":1000}");
        configuration.put(
                RecordKind.KEY,
                "key-1",
                "{\"schemaVersion\":1,\"account\":\"winders\",\"digest\":\""
                        + KeyDigest.ofSecret(SECRET).toHexadecimal() + "\"}");
        for (String adapter : new String[] {"a", "b", "c"}) {
            configuration.put(
                    RecordKind.ADAPTER,
                    adapter,
                    "{\"schemaVersion\":1,\"baseModel\":\"m\",\"versions\":[\"1\",\"2\"]}");
        }
        configuration.put(
                RecordKind.ASSIGNMENT,
                "assignment-1",
                "{\"schemaVersion\":2,\"account\":\"winders\",\"adapters\":[\"a\",\"b\",\"c\"]}");
        configuration.put(
                RecordKind.SERVICE,
                "job-cards",
                "{\"schemaVersion\":1,\"operations\":{\"book\":{\"repeatable\":false,\"tokens\":1}}}");
        String targetFields = isEngine ? "\"baseModel\":\"m\",\"slots\":2," : "\"service\":\"job-cards\",";
        configuration.put(
                RecordKind.TARGET,
                TARGET.value(),
                "{\"schemaVersion\":1,\"failureDomain\":\"d1\"," + targetFields + "\"checksFence\":" + checksFence
                        + "}");
    }

    private Hello hello(String instance, String role) {
        return Hello.newBuilder()
                .setProtocolVersion(1)
                .setInstance(instance)
                .setRole(role)
                .setIncarnation(incarnation)
                .build();
    }

    Run.Builder generation(String adapter, int tokens) {
        return Run.newBuilder()
                .setAttempt(UUID.randomUUID().toString())
                .setDeadlineLeftMillis(AWAIT_LIMIT.toMillis())
                .setAccount("winders")
                .setKeyDigest(ByteString.copyFrom(KeyDigest.ofSecret(SECRET).toBytes()))
                .setAdapter(adapter)
                .setVersion("1")
                .setBody(ByteString.copyFromUtf8("prompt"))
                .setMaximumTokens(tokens)
                .setPromptTokens(1)
                .setRepeatable(true)
                .setCredit(8);
    }

    Run.Builder booking() {
        return Run.newBuilder()
                .setAttempt(UUID.randomUUID().toString())
                .setDeadlineLeftMillis(AWAIT_LIMIT.toMillis())
                .setAccount("winders")
                .setKeyDigest(ByteString.copyFrom(KeyDigest.ofSecret(SECRET).toBytes()))
                .setService("job-cards")
                .setOperation("book")
                .setBody(ByteString.copyFromUtf8("{}"))
                .setCredit(8);
    }

    RecordedAnswer send(Run run) {
        return send(run, false);
    }

    RecordedAnswer send(Run run, boolean requestsNoMore) {
        RecordedAnswer answer = new RecordedAnswer(requestsNoMore);
        answer.attachHandle(attempts.run(COMPANION, run, answer));
        return answer;
    }

    static String expected(Run run) {
        StringBuilder text = new StringBuilder();
        for (int sequence = 0; sequence < run.getMaximumTokens(); sequence++) {
            text.append(run.getAdapter())
                    .append('@')
                    .append(run.getVersion())
                    .append(":prompt:")
                    .append(sequence)
                    .append(' ');
        }
        return text.toString();
    }

    void closeLink() {
        entryLinks.find(COMPANION).ifPresent(peer -> peer.close("closed by the test"));
    }

    static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + AWAIT_LIMIT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError("condition not met within " + AWAIT_LIMIT);
            }
            try {
                Thread.sleep(5);
            } catch (InterruptedException stopped) {
                throw new AssertionError(stopped);
            }
        }
    }

    @Override
    public void close() {
        companion.close();
        linkAttempts.close();
        entryLinks.close();
        companionLinks.close();
    }
}
