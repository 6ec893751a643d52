package org.geraniumreach.node;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Targets of a few services that fall silent, leave and are replaced, under configurations that change.
 *
 * <p>All targets are sound: each writes for a second between two silences, and leaves only when it runs nothing and the entries have had the time
 * to learn of it. Safe for use by several threads.
 */
final class SilentFleet implements AutoCloseable {

    /** No configuration has a shorter timeout. */
    static final int MINIMUM_TIMEOUT_MILLIS = 8_000;

    private static final List<String> SERVICES = List.of("engines-a", "engines-b", "plain-a", "plain-b");
    private static final int TARGETS_PER_SERVICE = 3;
    private static final long TIME_BETWEEN_SILENCES_MILLIS = 1_000;
    private static final long MAXIMUM_SILENCE_MILLIS = 3_000;
    private static final long DRAIN_MILLIS = 3_000;
    private static final long POLL_MILLIS = 100;

    private final FakePlatform platform;
    private final Queue<SilentTarget.Run> runs = new ConcurrentLinkedQueue<>();
    private final Map<String, Member> members = new ConcurrentHashMap<>();
    private final Queue<SilentTarget> allTargets = new ConcurrentLinkedQueue<>();
    private final AtomicInteger targetCount = new AtomicInteger();
    private int version = 1;
    private volatile long storeDisturbedAt = System.nanoTime();

    private record Member(String service, SilentTarget target, FakePlatform.FakeTarget row) {}

    SilentFleet(FakePlatform platform) throws IOException {
        this.platform = platform;
        for (String service : SERVICES) {
            for (int number = 0; number < TARGETS_PER_SERVICE; number++) {
                addTarget(service);
            }
        }
        configure(new Random(0));
    }

    Collection<SilentTarget.Run> runs() {
        return runs;
    }

    private void addTarget(String service) throws IOException {
        String name = service + "-" + targetCount.incrementAndGet();
        SilentTarget target = new SilentTarget(name, runs);
        allTargets.add(target);
        FakePlatform.FakeTarget row = platform.addTarget(name, service);
        row.reachThrough(target.address());
        members.put(name, new Member(service, target, row));
    }

    /** Makes one target, half of those of a service, or all targets silent for up to three seconds. */
    void fallSilent(Random random) {
        long millis = 500 + random.nextInt((int) MAXIMUM_SILENCE_MILLIS - 499);
        int extent = random.nextInt(3);
        String service = SERVICES.get(random.nextInt(SERVICES.size()));
        List<Member> awake = members.values().stream()
                .filter(member -> member.target().hasSpokenFor(TIME_BETWEEN_SILENCES_MILLIS))
                .filter(member -> extent == 2 || member.service().equals(service))
                .toList();
        int count = extent == 0 ? 1 : extent == 1 ? (awake.size() + 1) / 2 : awake.size();
        awake.stream().limit(count).forEach(member -> member.target().fallSilent(millis));
    }

    /** Puts a configuration in force in which routes, weights, timeouts, accounts and the idle timeout may differ. */
    synchronized void configure(Random random) {
        version += 1 + random.nextInt(3);
        SilenceConfiguration configuration = new SilenceConfiguration();
        configuration.setTimeout(MINIMUM_TIMEOUT_MILLIS + random.nextInt(3) * 1_000);
        configuration.setIdleTimeout(5_000 + random.nextInt(10_000));
        configuration.setAccounts(1 + random.nextInt(2), "key-" + random.nextInt(100));
        SERVICES.forEach(configuration::addService);
        addRoute(configuration, "chat", "engines-", random);
        addRoute(configuration, "flow", "engines-", random);
        addRoute(configuration, "look", "plain-", random);
        addRoute(configuration, "book", "plain-", random);
        platform.configure(configuration.text(version));
    }

    private static void addRoute(SilenceConfiguration configuration, String kind, String service, Random random) {
        boolean swapped = random.nextBoolean();
        String first = service + (swapped ? 'b' : 'a');
        String second = service + (swapped ? 'a' : 'b');
        String prefix = "/" + kind + "/";
        if (random.nextBoolean()) {
            configuration.addRoute(kind, prefix, first);
        } else {
            configuration.addSplitRoute(kind, prefix, first, second, 1 + random.nextInt(99));
        }
    }

    /** Lets a target leave: it drains, is replaced, and ends when it runs nothing; returns without an end if the time is up. */
    void replaceTarget(Random random, long end) throws IOException, InterruptedException {
        List<String> names = new ArrayList<>(members.keySet());
        String name = names.get(random.nextInt(names.size()));
        Member leaving = members.remove(name);
        leaving.row().drain();
        addTarget(leaving.service());
        long drainedAt = System.nanoTime();
        while (System.nanoTime() < end) {
            Thread.sleep(POLL_MILLIS);
            long knownSince = System.nanoTime() - Math.max(drainedAt, storeDisturbedAt);
            if (knownSince > DRAIN_MILLIS * 1_000_000 && leaving.target().openRuns() == 0) {
                leaving.row().leave();
                leaving.target().close();
                return;
            }
        }
    }

    /** Makes the store slow or unavailable for a while. */
    void disturbStore(Random random) throws InterruptedException {
        storeDisturbedAt = Long.MAX_VALUE;
        boolean slow = random.nextBoolean();
        if (slow) {
            platform.delayStore(100 + random.nextInt(900));
        } else {
            platform.setStoreAvailable(false);
        }
        Thread.sleep(random.nextInt(4_000));
        platform.delayStore(0);
        platform.setStoreAvailable(true);
        storeDisturbedAt = System.nanoTime();
    }

    @Override
    public void close() throws IOException {
        for (SilentTarget target : allTargets) {
            target.close();
        }
    }
}
