package org.geraniumreach.gateway.adapter;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AdapterSlotsTest {

    private static final int SLOTS = 5;
    private static final long MILLI = 1_000_000;
    private static final long LOAD_MILLIS = 250;
    private static final long MAX_ORDER_DELAY_MILLIS = 3_000;

    // A target crashes, and its callers lose their streams, if it is ordered to load more adapters than it has
    // slots. Answers are lost, orders are executed seconds late, and running requests defer unloads meanwhile.
    @Property(tries = 3000)
    void neverOrdersMoreAdaptersThanTheTargetHasSlots(@ForAll long seed) {
        new SimulatedTarget(seed).run();
    }

    // An unload is deferred, its answer is lost, and it is sent again after a report that does not show it. Counted
    // twice, it would let a later load carry a number that is too high; executed seconds late, that load exceeds
    // the slots and crashes the target.
    @Test
    void anUnloadThatAwaitsRunsIsNotCountedTwice() {
        new SimulatedTarget(-4568).run();
    }

    /** Guards against a version that counts as resident though the target was ordered to load the one before. */
    @Test
    void aVersionNamedDuringALoadIsOrderedByItself() {
        AtomicLong newest = new AtomicLong(1);
        List<Long> loaded = new ArrayList<>();
        AdapterSlots slots = new AdapterSlots(
                SLOTS, "base", adapter -> newest.get(), new FetchWindow(), new AdapterSlots.Listener() {
                    @Override
                    public void onAdapterLoaded(AdapterName adapter, long version) {
                        loaded.add(version);
                    }

                    @Override
                    public void onAdapterUnavailable(AdapterName adapter) {
                        throw new AssertionError("not unloaded");
                    }

                    @Override
                    public void onModelLoaded() {
                        throw new AssertionError("loaded before");
                    }
                });
        slots.onReport(new TargetReport(0, Map.of("base", Map.of()), Set.of()), 0);
        slots.enqueue(name(1), OptionalLong.empty(), 0);
        slots.onOrderResult(nextOrder(slots, 0), OrderResult.ACCEPTED, 0);
        newest.set(2);
        long now = 300 * MILLI;
        slots.enqueue(name(1), OptionalLong.empty(), now);
        slots.onOrderResult(nextOrder(slots, now), OrderResult.ALREADY_SO, now);
        assertThat(loaded).containsExactly(1L);
        AdapterSlots.Call.SendOrder second = nextOrder(slots, now);
        assertThat(second.operation()).isEqualTo(Order.Operation.LOAD);
        slots.onOrderResult(second, OrderResult.ALREADY_SO, now);
        assertThat(loaded).containsExactly(1L, 2L);
        assertThat(slots.isBusy()).isFalse();
    }

    private static AdapterSlots.Call.SendOrder nextOrder(AdapterSlots slots, long now) {
        return (AdapterSlots.Call.SendOrder) slots.nextCall(now).orElseThrow();
    }

    // A load request whose waiting requests have given up must not take a slot from those that still wait.
    @Test
    void aLoadRequestThatIsNotRenewedExpires() {
        SimulatedTarget target = new SimulatedTarget(1);
        target.slots.onReport(new TargetReport(0, Map.of("base", Map.of()), Set.of()), 0);
        target.slots.enqueue(name(1), OptionalLong.empty(), 0);
        assertThat(target.slots.nextCall(2_000 * MILLI)).isEmpty();
        assertThat(target.slots.isBusy()).isFalse();
    }

    // If the first poll of a fetch waited for the time of recent fetches, one slow fetch would delay the polls of
    // the next ones: callers would wait over 2 s for an adapter that is loaded after 0.25 s.
    @Test
    void aSlowFetchDoesNotDelayThePollOfTheNextFetch() {
        SimulatedTarget target = new SimulatedTarget(1);
        target.slots.onReport(new TargetReport(0, Map.of("base", Map.of()), Set.of()), 0);
        long usualFetch = 250 * MILLI;
        long now = 0;
        for (int number = 0; number < SLOTS - 1; number++) {
            long fetchTime = number == 1 ? 10 * usualFetch : usualFetch;
            now = load(target.slots, name(number), now, fetchTime);
        }
        long startedAt = now;
        assertThat(load(target.slots, name(SLOTS), startedAt, usualFetch) - startedAt)
                .isLessThan(usualFetch + 50 * MILLI);
    }

    /** Guards against the eviction of an adapter whose request runs for longer than the minimum idle time. */
    @Test
    void anAdapterUsedByRunningRequestsIsNotEvicted() {
        SimulatedTarget target = new SimulatedTarget(1);
        Map<String, Long> loaded = new HashMap<>();
        for (int number = 0; number < SLOTS; number++) {
            loaded.put("a" + number, 1L);
        }
        target.slots.onReport(new TargetReport(0, Map.of("base", loaded), Set.of()), 0);
        long now = 5_000 * MILLI;
        target.slots.updateRunning("other", Set.of(name(0), name(1), name(2)), now);
        target.slots.updateRunning("another", Set.of(name(3), name(4)), now);
        now += 1_500 * MILLI;
        target.slots.enqueue(name(9), OptionalLong.empty(), now);
        assertThat(target.slots.nextCall(now)).isEmpty();
        target.slots.updateRunning("another", Set.of(name(3)), now);
        AdapterSlots.Call.SendOrder unload =
                (AdapterSlots.Call.SendOrder) target.slots.nextCall(now).orElseThrow();
        assertThat(unload.adapter()).contains(name(4));
    }

    /** Guards against load requests that wait at a target whose adapters are all in use while another target has a slot. */
    @Test
    void aTargetWhoseAdaptersAreAllInUseHasNoSlotForAnother() {
        SimulatedTarget target = new SimulatedTarget(1);
        Map<String, Long> loaded = new HashMap<>();
        for (int number = 0; number < SLOTS; number++) {
            loaded.put("a" + number, 1L);
        }
        target.slots.onReport(new TargetReport(0, Map.of("base", loaded), Set.of()), 0);
        long now = 5_000 * MILLI;
        target.slots.updateRunning("other", Set.of(name(0), name(1), name(2), name(3), name(4)), now);
        assertThat(target.slots.hasSlotFor(name(9), now)).isFalse();
        assertThat(target.slots.hasSlotFor(name(3), now)).isTrue();
        target.slots.updateRunning("other", Set.of(name(0), name(1), name(2), name(3)), now);
        assertThat(target.slots.hasSlotFor(name(9), now)).isTrue();
        target.slots.enqueue(name(9), OptionalLong.empty(), now);
        assertThat(target.slots.hasSlotFor(name(9), now)).isTrue();
        assertThat(target.slots.hasSlotFor(name(8), now)).isFalse();
    }

    /** Guards against slots that are never freed because an entry ended without a last report. */
    @Test
    void theReportOfAnEntryThatHasEndedExpires() {
        SimulatedTarget target = new SimulatedTarget(1);
        Map<String, Long> loaded = new HashMap<>();
        for (int number = 0; number < SLOTS; number++) {
            loaded.put("a" + number, 1L);
        }
        target.slots.onReport(new TargetReport(0, Map.of("base", loaded), Set.of()), 0);
        target.slots.updateRunning("gone", Set.of(name(0), name(1), name(2), name(3), name(4)), 0);
        long now = RunningAdapters.REPORT_LIFETIME.toNanos();
        target.slots.enqueue(name(9), OptionalLong.empty(), now);
        assertThat(target.slots.nextCall(now)).isPresent();
    }

    @Test
    void noCallIsDueUntilTheFirstPollOfALoad() {
        SimulatedTarget target = new SimulatedTarget(1);
        target.slots.onReport(new TargetReport(0, Map.of("base", Map.of()), Set.of()), 0);
        load(target.slots, name(0), 0, 250 * MILLI);
        long now = 1_000 * MILLI;
        target.slots.enqueue(name(1), OptionalLong.empty(), now);
        AdapterSlots.Call.SendOrder order =
                (AdapterSlots.Call.SendOrder) target.slots.nextCall(now).orElseThrow();
        assertThat(target.slots.untilNextCall(now)).isEmpty();
        target.slots.onOrderResult(order, OrderResult.ACCEPTED, now);
        assertThat(target.slots.untilNextCall(now)).contains(Duration.ofMillis(230));
        now += 230 * MILLI;
        AdapterSlots.Call.SendOrder poll =
                (AdapterSlots.Call.SendOrder) target.slots.nextCall(now).orElseThrow();
        assertThat(target.slots.untilNextCall(now)).isEmpty();
        target.slots.onOrderResult(poll, OrderResult.ACCEPTED, now);
        assertThat(target.slots.untilNextCall(now)).contains(Duration.ofMillis(25));
        target.slots.enqueue(name(2), OptionalLong.empty(), now);
        assertThat(target.slots.untilNextCall(now)).isEmpty();
    }

    /** Loads an adapter in the given time and returns when the load was noticed. */
    private static long load(AdapterSlots slots, AdapterName adapter, long startedAt, long loadTime) {
        slots.enqueue(adapter, OptionalLong.empty(), startedAt);
        AdapterSlots.Call.SendOrder order =
                (AdapterSlots.Call.SendOrder) slots.nextCall(startedAt).orElseThrow();
        slots.onOrderResult(order, OrderResult.ACCEPTED, startedAt);
        long now = startedAt;
        while (slots.isBusy()) {
            now += MILLI;
            Optional<AdapterSlots.Call> poll = slots.nextCall(now);
            if (poll.isPresent()) {
                OrderResult result = now - startedAt >= loadTime ? OrderResult.ALREADY_SO : OrderResult.ACCEPTED;
                slots.onOrderResult((AdapterSlots.Call.SendOrder) poll.get(), result, now);
            }
        }
        return now;
    }

    // While the weight store is busy, a load from the target's own memory must not wait for seconds behind one that
    // has to be fetched.
    @Test
    void aLoadFromTheTargetsMemoryDoesNotWaitForTheWeightStore() {
        SimulatedTarget target = new SimulatedTarget(1);
        Map<String, Long> loaded = new HashMap<>();
        for (int number = 0; number < SLOTS; number++) {
            loaded.put("a" + number, 1L);
        }
        target.slots.onReport(new TargetReport(0, Map.of("base", loaded), Set.of()), 0);
        long now = 1_000 * MILLI;
        target.slots.enqueue(name(9), OptionalLong.of(now), now);
        AdapterSlots.Call.SendOrder unload =
                (AdapterSlots.Call.SendOrder) target.slots.nextCall(now).orElseThrow();
        target.slots.onOrderResult(unload, OrderResult.ALREADY_SO, now);
        loaded.remove(unload.adapter().orElseThrow().adapter());
        now += 400 * MILLI;
        assertThat(target.slots.nextCall(now)).contains(new AdapterSlots.Call.ReadReport());
        target.slots.onReport(new TargetReport(1, Map.of("base", loaded), Set.of()), now);
        while (target.window.isOpen()) {
            target.window.onFetchStarted();
        }
        target.slots.enqueue(name(9), OptionalLong.of(now), now);
        target.slots.enqueue(unload.adapter().orElseThrow(), OptionalLong.of(now + 1), now);
        AdapterSlots.Call.SendOrder load =
                (AdapterSlots.Call.SendOrder) target.slots.nextCall(now).orElseThrow();
        assertThat(load.adapter()).isEqualTo(unload.adapter());
        assertThat(load.operation()).isEqualTo(Order.Operation.LOAD);
    }

    // A target refuses other orders while it defers one; each refusal would cost a report and 0.3 s.
    @Test
    void noOtherOrderIsSentWhileOneIsDeferred() {
        SimulatedTarget target = new SimulatedTarget(1);
        Map<String, Long> loaded = new HashMap<>();
        for (int number = 0; number < SLOTS; number++) {
            loaded.put("a" + number, 1L);
        }
        target.slots.onReport(new TargetReport(0, Map.of("base", loaded), Set.of()), 0);
        target.slots.enqueue(name(9), OptionalLong.empty(), 0);
        AdapterSlots.Call.SendOrder unload =
                (AdapterSlots.Call.SendOrder) target.slots.nextCall(0).orElseThrow();
        target.slots.onOrderResult(unload, OrderResult.ACCEPTED, 0);
        target.slots.enqueue(name(8), OptionalLong.empty(), 100 * MILLI);
        AdapterSlots.Call.SendOrder next =
                (AdapterSlots.Call.SendOrder) target.slots.nextCall(100 * MILLI).orElseThrow();
        assertThat(next.operation()).isEqualTo(Order.Operation.UNLOAD);
        assertThat(next.adapter()).isEqualTo(unload.adapter());
    }

    // After a lost answer, reading a report that is 0.3 s old would make callers wait for a second. Sent again
    // unchanged, the order is executed once, whichever copy arrives first.
    @Test
    void anOrderWhoseAnswerWasLostIsSentAgainUnchangedAtOnce() {
        SimulatedTarget target = new SimulatedTarget(1);
        target.slots.onReport(new TargetReport(7, Map.of("base", Map.of()), Set.of()), 0);
        target.slots.enqueue(name(1), OptionalLong.empty(), 0);
        AdapterSlots.Call first = target.slots.nextCall(0).orElseThrow();
        target.slots.onOrderResult((AdapterSlots.Call.SendOrder) first, OrderResult.UNKNOWN, 150 * MILLI);
        target.slots.enqueue(name(2), OptionalLong.empty(), 150 * MILLI);
        AdapterSlots.Call second = target.slots.nextCall(150 * MILLI).orElseThrow();
        assertThat(second).isEqualTo(first);
        target.slots.onOrderResult((AdapterSlots.Call.SendOrder) second, OrderResult.ACCEPTED, 160 * MILLI);
        AdapterSlots.Call.SendOrder poll =
                (AdapterSlots.Call.SendOrder) target.slots.nextCall(400 * MILLI).orElseThrow();
        target.slots.onOrderResult(poll, OrderResult.ALREADY_SO, 410 * MILLI);
        target.slots.enqueue(name(2), OptionalLong.empty(), 410 * MILLI);
        AdapterSlots.Call.SendOrder other =
                (AdapterSlots.Call.SendOrder) target.slots.nextCall(410 * MILLI).orElseThrow();
        assertThat(other.adapter()).contains(name(2));
        assertThat(other.expectedOrders()).isEqualTo(8);
    }

    @Test
    void aReportIsReadAfterThreeUnansweredAttempts() {
        SimulatedTarget target = new SimulatedTarget(1);
        target.slots.onReport(new TargetReport(7, Map.of("base", Map.of()), Set.of()), 0);
        target.slots.enqueue(name(1), OptionalLong.empty(), 0);
        long now = 0;
        for (int attempt = 0; attempt < 3; attempt++) {
            AdapterSlots.Call step = target.slots.nextCall(now).orElseThrow();
            now += 150 * MILLI;
            target.slots.onOrderResult((AdapterSlots.Call.SendOrder) step, OrderResult.UNKNOWN, now);
        }
        assertThat(target.slots.nextCall(now + 400 * MILLI)).contains(new AdapterSlots.Call.ReadReport());
    }

    private static AdapterName name(int number) {
        return new AdapterName("base", "a" + number);
    }

    /** Simulates a target, and checks the number of adapters that it holds. */
    private static final class SimulatedTarget implements AdapterSlots.Listener {
        private final SplittableRandom random;
        private final FetchWindow window = new FetchWindow();
        private final AdapterSlots slots = new AdapterSlots(SLOTS, "base", adapter -> 1L, window, this);
        private final Set<AdapterName> resident = new HashSet<>();
        private final Map<AdapterName, Long> loading = new HashMap<>();
        private final List<DelayedOrder> delayedOrders = new ArrayList<>();
        private Optional<AdapterName> deferredUnload = Optional.empty();
        private long runsEndAt;
        private long acceptedOrders;
        private long now;

        private record DelayedOrder(AdapterSlots.Call.SendOrder order, long executedAt) {}

        private SimulatedTarget(long seed) {
            this.random = new SplittableRandom(seed);
        }

        private void run() {
            for (int step = 0; step < 400; step++) {
                now += random.nextInt(30) * MILLI;
                advance();
                if (random.nextInt(3) == 0) {
                    slots.enqueue(name(random.nextInt(14)), OptionalLong.empty(), now);
                }
                slots.nextCall(now).ifPresent(this::answer);
                assertThat(resident.size() + loading.size()).isLessThanOrEqualTo(SLOTS);
                assertThat(window.inFlight()).isBetween(0, SLOTS);
            }
        }

        private void advance() {
            loading.entrySet().removeIf(load -> load.getValue() <= now && resident.add(load.getKey()));
            if (deferredUnload.isPresent() && runsEndAt <= now) {
                resident.remove(deferredUnload.get());
                deferredUnload = Optional.empty();
            }
            List<DelayedOrder> due = delayedOrders.stream()
                    .filter(delayed -> delayed.executedAt() <= now)
                    .toList();
            delayedOrders.removeAll(due);
            due.forEach(delayed -> execute(delayed.order()));
        }

        private void answer(AdapterSlots.Call step) {
            if (step instanceof AdapterSlots.Call.ReadReport) {
                report();
                return;
            }
            AdapterSlots.Call.SendOrder send = (AdapterSlots.Call.SendOrder) step;
            switch (random.nextInt(12)) {
                case 0 -> {
                    delayedOrders.add(new DelayedOrder(send, now + random.nextLong(MAX_ORDER_DELAY_MILLIS) * MILLI));
                    slots.onOrderResult(send, OrderResult.UNKNOWN, now);
                }
                case 1 -> {
                    execute(send);
                    slots.onOrderResult(send, OrderResult.UNKNOWN, now);
                }
                default -> slots.onOrderResult(send, execute(send), now);
            }
        }

        private void report() {
            if (random.nextInt(5) == 0) {
                slots.onReportFailed(now);
                return;
            }
            Map<String, Long> loaded = new HashMap<>();
            resident.forEach(adapter -> loaded.put(adapter.adapter(), 1L));
            Set<String> loadingNames = new HashSet<>();
            loading.keySet().forEach(adapter -> loadingNames.add(adapter.adapter()));
            slots.onReport(new TargetReport(acceptedOrders, Map.of("base", loaded), loadingNames), now);
        }

        private OrderResult execute(AdapterSlots.Call.SendOrder send) {
            AdapterName adapter = send.adapter().orElseThrow();
            boolean isLoad = send.operation() == Order.Operation.LOAD;
            if (isLoad && loading.containsKey(adapter)) {
                return OrderResult.ACCEPTED;
            }
            if (deferredUnload.isPresent()) {
                return deferredUnload.get().equals(adapter) && !isLoad ? OrderResult.ACCEPTED : OrderResult.CONFLICT;
            }
            if (isLoad == resident.contains(adapter)) {
                return OrderResult.ALREADY_SO;
            }
            if (send.expectedOrders() != acceptedOrders) {
                return OrderResult.CONFLICT;
            }
            acceptedOrders++;
            if (isLoad) {
                loading.put(adapter, now + LOAD_MILLIS * MILLI);
                return OrderResult.ACCEPTED;
            }
            if (random.nextInt(4) == 0) {
                deferredUnload = Optional.of(adapter);
                runsEndAt = now + random.nextInt(1_500) * MILLI;
                return OrderResult.ACCEPTED;
            }
            resident.remove(adapter);
            return OrderResult.ALREADY_SO;
        }

        @Override
        public void onAdapterLoaded(AdapterName adapter, long version) {
            // The checks use the state of the simulated target.
        }

        @Override
        public void onAdapterUnavailable(AdapterName adapter) {
            // The checks use the state of the simulated target.
        }

        @Override
        public void onModelLoaded() {
            // The base model is loaded from the beginning.
        }
    }
}
