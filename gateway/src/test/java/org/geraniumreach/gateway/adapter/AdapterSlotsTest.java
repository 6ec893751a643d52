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

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AdapterSlotsTest {

    private static final int PLACES = 5;
    private static final long MILLI = 1_000_000;
    private static final long LOAD_MILLIS = 250;
    private static final long LATE_MILLIS = 3_000;

    // A target crashes, and all its callers lose their streams, if it is ordered to hold more adapters than it has
    // slots.
    // Answers are lost, orders are carried out seconds late, and runs hold unloads up meanwhile.
    @Property(tries = 3000)
    void theTargetIsNeverOrderedToHoldMoreThanItsPlaces(@ForAll long seed) {
        new World(seed).play();
    }

    // All callers of a target lose their streams: an unload awaits runs, its answer is lost, and it is sent again after
    // a
    // report that does not tell of it. It counted twice here, so a load that was lost named a number yet to come and
    // was
    // carried out seconds later, beyond the slots.
    @Test
    void anUnloadThatAwaitsRunsIsNotCountedTwice() {
        new World(-4568).play();
    }

    // A caller of a rare adapter is served although another entry's request for it gave up: wishes lapse unless they
    // are renewed, so they take no place from those who still wait.
    @Test
    void aWishThatNobodyRenewsLapses() {
        World world = new World(1);
        world.slots.reported(new TargetReport(0, Map.of("base", Map.of()), Set.of()), 0);
        world.slots.enqueue(name(1), OptionalLong.empty(), 0);
        assertThat(world.slots.next(2_000 * MILLI)).isEmpty();
        assertThat(world.slots.isBusy()).isFalse();
    }

    // The caller waited for over two seconds for an adapter that was there after a quarter of one. An earlier fetch had
    // taken long; the first look at a fetch waited for what the last ones had taken, so the next took as long by its
    // look.
    @Test
    void aFetchThatTookLongDoesNotDelayTheLookAtTheNext() {
        World world = new World(1);
        world.slots.reported(new TargetReport(0, Map.of("base", Map.of()), Set.of()), 0);
        long usual = 250 * MILLI;
        long now = 0;
        for (int number = 0; number < PLACES - 1; number++) {
            long took = number == 1 ? 10 * usual : usual;
            now = load(world.slots, name(number), now, took);
        }
        long begun = now;
        assertThat(load(world.slots, name(PLACES), begun, usual) - begun).isLessThan(usual + 50 * MILLI);
    }

    /** Guards against the eviction of an adapter whose request runs for longer than evictions look back. */
    @Test
    void anAdapterThatRequestsRunForIsNotEvicted() {
        World world = new World(1);
        Map<String, Long> full = new HashMap<>();
        for (int number = 0; number < PLACES; number++) {
            full.put("a" + number, 1L);
        }
        world.slots.reported(new TargetReport(0, Map.of("base", full), Set.of()), 0);
        long now = 5_000 * MILLI;
        world.slots.running("other", Set.of(name(0), name(1), name(2)), now);
        world.slots.running("another", Set.of(name(3), name(4)), now);
        now += 1_500 * MILLI;
        world.slots.enqueue(name(9), OptionalLong.empty(), now);
        assertThat(world.slots.next(now)).isEmpty();
        world.slots.running("another", Set.of(name(3)), now);
        AdapterSlots.Step.Send unload =
                (AdapterSlots.Step.Send) world.slots.next(now).orElseThrow();
        assertThat(unload.adapter()).contains(name(4));
    }

    /** Guards against load requests that wait at a target whose adapters are all in use while another target has a slot. */
    @Test
    void aTargetWhoseAdaptersAreAllInUseHasNoSlotForAnother() {
        World world = new World(1);
        Map<String, Long> full = new HashMap<>();
        for (int number = 0; number < PLACES; number++) {
            full.put("a" + number, 1L);
        }
        world.slots.reported(new TargetReport(0, Map.of("base", full), Set.of()), 0);
        long now = 5_000 * MILLI;
        world.slots.running("other", Set.of(name(0), name(1), name(2), name(3), name(4)), now);
        assertThat(world.slots.hasSlotFor(name(9), now)).isFalse();
        assertThat(world.slots.hasSlotFor(name(3), now)).isTrue();
        world.slots.running("other", Set.of(name(0), name(1), name(2), name(3)), now);
        assertThat(world.slots.hasSlotFor(name(9), now)).isTrue();
        world.slots.enqueue(name(9), OptionalLong.empty(), now);
        assertThat(world.slots.hasSlotFor(name(9), now)).isTrue();
        assertThat(world.slots.hasSlotFor(name(8), now)).isFalse();
    }

    /** Guards against slots that are lost for good because an entry ended without a last report. */
    @Test
    void whatAnEntryThatIsGoneReportedDoesNotPreventEvictionsForLong() {
        World world = new World(1);
        Map<String, Long> full = new HashMap<>();
        for (int number = 0; number < PLACES; number++) {
            full.put("a" + number, 1L);
        }
        world.slots.reported(new TargetReport(0, Map.of("base", full), Set.of()), 0);
        world.slots.running("gone", Set.of(name(0), name(1), name(2), name(3), name(4)), 0);
        long now = RunningAdapters.REPORT_LIFETIME.toNanos();
        world.slots.enqueue(name(9), OptionalLong.empty(), now);
        assertThat(world.slots.next(now)).isPresent();
    }

    @Test
    void nothingIsDueUntilTheFirstLookAtALoad() {
        World world = new World(1);
        world.slots.reported(new TargetReport(0, Map.of("base", Map.of()), Set.of()), 0);
        load(world.slots, name(0), 0, 250 * MILLI);
        long now = 1_000 * MILLI;
        world.slots.enqueue(name(1), OptionalLong.empty(), now);
        AdapterSlots.Step.Send order =
                (AdapterSlots.Step.Send) world.slots.next(now).orElseThrow();
        assertThat(world.slots.untilNextCall(now)).isEmpty();
        world.slots.answered(order, OrderResult.ACCEPTED, now);
        assertThat(world.slots.untilNextCall(now)).contains(Duration.ofMillis(230));
        now += 230 * MILLI;
        AdapterSlots.Step.Send poll =
                (AdapterSlots.Step.Send) world.slots.next(now).orElseThrow();
        assertThat(world.slots.untilNextCall(now)).isEmpty();
        world.slots.answered(poll, OrderResult.ACCEPTED, now);
        assertThat(world.slots.untilNextCall(now)).contains(Duration.ofMillis(25));
        world.slots.enqueue(name(2), OptionalLong.empty(), now);
        assertThat(world.slots.untilNextCall(now)).isEmpty();
    }

    /** Has an adapter loaded that is there after a time, and returns when that was noticed. */
    private static long load(AdapterSlots slots, AdapterName adapter, long begun, long took) {
        slots.enqueue(adapter, OptionalLong.empty(), begun);
        AdapterSlots.Step.Send order =
                (AdapterSlots.Step.Send) slots.next(begun).orElseThrow();
        slots.answered(order, OrderResult.ACCEPTED, begun);
        long now = begun;
        while (slots.isBusy()) {
            now += MILLI;
            Optional<AdapterSlots.Step> look = slots.next(now);
            if (look.isPresent()) {
                OrderResult result = now - begun >= took ? OrderResult.ALREADY_SO : OrderResult.ACCEPTED;
                slots.answered((AdapterSlots.Step.Send) look.get(), result, now);
            }
        }
        return now;
    }

    // Callers of an adapter that the target had a moment ago waited for seconds behind callers of one that must be
    // fetched,
    // while the weight store was busy. A load from the target's own memory takes nothing from anybody.
    @Test
    void whatTheTargetHasAtHandDoesNotWaitForTheWeightStore() {
        World world = new World(1);
        Map<String, Long> full = new HashMap<>();
        for (int number = 0; number < PLACES; number++) {
            full.put("a" + number, 1L);
        }
        world.slots.reported(new TargetReport(0, Map.of("base", full), Set.of()), 0);
        long now = 1_000 * MILLI;
        world.slots.enqueue(name(9), OptionalLong.of(now), now);
        AdapterSlots.Step.Send unload =
                (AdapterSlots.Step.Send) world.slots.next(now).orElseThrow();
        world.slots.answered(unload, OrderResult.ALREADY_SO, now);
        full.remove(unload.adapter().orElseThrow().adapter());
        now += 400 * MILLI;
        assertThat(world.slots.next(now)).contains(new AdapterSlots.Step.ReadReport());
        world.slots.reported(new TargetReport(1, Map.of("base", full), Set.of()), now);
        while (world.window.isOpen()) {
            world.window.onFetchStarted();
        }
        world.slots.enqueue(name(9), OptionalLong.of(now), now);
        world.slots.enqueue(unload.adapter().orElseThrow(), OptionalLong.of(now + 1), now);
        AdapterSlots.Step.Send load =
                (AdapterSlots.Step.Send) world.slots.next(now).orElseThrow();
        assertThat(load.adapter()).isEqualTo(unload.adapter());
        assertThat(load.operation()).isEqualTo(Order.Operation.LOAD);
    }

    // Nothing else can be ordered while a target waits for runs to end; each refusal would cost a report and 0.3 s.
    @Test
    void nothingElseIsOrderedWhileAnOrderAwaitsRuns() {
        World world = new World(1);
        Map<String, Long> full = new HashMap<>();
        for (int number = 0; number < PLACES; number++) {
            full.put("a" + number, 1L);
        }
        world.slots.reported(new TargetReport(0, Map.of("base", full), Set.of()), 0);
        world.slots.enqueue(name(9), OptionalLong.empty(), 0);
        AdapterSlots.Step.Send unload =
                (AdapterSlots.Step.Send) world.slots.next(0).orElseThrow();
        world.slots.answered(unload, OrderResult.ACCEPTED, 0);
        world.slots.enqueue(name(8), OptionalLong.empty(), 100 * MILLI);
        AdapterSlots.Step.Send next =
                (AdapterSlots.Step.Send) world.slots.next(100 * MILLI).orElseThrow();
        assertThat(next.operation()).isEqualTo(Order.Operation.UNLOAD);
        assertThat(next.adapter()).isEqualTo(unload.adapter());
    }

    // Callers of rare adapters wait for a second: an order's answer is lost, and the target is asked for a report,
    // which
    // is 0.3 s old. Sent again unchanged, the order is carried out once whichever copy comes first.
    @Test
    void anOrderWhoseAnswerWasLostIsSentAgainUnchangedAtOnce() {
        World world = new World(1);
        world.slots.reported(new TargetReport(7, Map.of("base", Map.of()), Set.of()), 0);
        world.slots.enqueue(name(1), OptionalLong.empty(), 0);
        AdapterSlots.Step first = world.slots.next(0).orElseThrow();
        world.slots.answered((AdapterSlots.Step.Send) first, OrderResult.UNKNOWN, 150 * MILLI);
        world.slots.enqueue(name(2), OptionalLong.empty(), 150 * MILLI);
        AdapterSlots.Step second = world.slots.next(150 * MILLI).orElseThrow();
        assertThat(second).isEqualTo(first);
        world.slots.answered((AdapterSlots.Step.Send) second, OrderResult.ACCEPTED, 160 * MILLI);
        AdapterSlots.Step.Send poll =
                (AdapterSlots.Step.Send) world.slots.next(400 * MILLI).orElseThrow();
        world.slots.answered(poll, OrderResult.ALREADY_SO, 410 * MILLI);
        world.slots.enqueue(name(2), OptionalLong.empty(), 410 * MILLI);
        AdapterSlots.Step.Send other =
                (AdapterSlots.Step.Send) world.slots.next(410 * MILLI).orElseThrow();
        assertThat(other.adapter()).contains(name(2));
        assertThat(other.expectedOrders()).isEqualTo(8);
    }

    @Test
    void aTargetThatAnswersNoCopyIsAskedForAReport() {
        World world = new World(1);
        world.slots.reported(new TargetReport(7, Map.of("base", Map.of()), Set.of()), 0);
        world.slots.enqueue(name(1), OptionalLong.empty(), 0);
        long now = 0;
        for (int copy = 0; copy < 3; copy++) {
            AdapterSlots.Step step = world.slots.next(now).orElseThrow();
            now += 150 * MILLI;
            world.slots.answered((AdapterSlots.Step.Send) step, OrderResult.UNKNOWN, now);
        }
        assertThat(world.slots.next(now + 400 * MILLI)).contains(new AdapterSlots.Step.ReadReport());
    }

    private static AdapterName name(int number) {
        return new AdapterName("base", "a" + number);
    }

    /** A target as the users describe theirs, with an oracle that counts what it holds. */
    private static final class World implements AdapterSlots.Listener {
        private final SplittableRandom random;
        private final FetchWindow window = new FetchWindow();
        private final AdapterSlots slots = new AdapterSlots(PLACES, "base", adapter -> 1L, window, this);
        private final Set<AdapterName> resident = new HashSet<>();
        private final Map<AdapterName, Long> coming = new HashMap<>();
        private final List<Late> late = new ArrayList<>();
        private Optional<AdapterName> awaitingRuns = Optional.empty();
        private long runsEndAt;
        private long orders;
        private long now;

        private record Late(AdapterSlots.Step.Send order, long at) {}

        private World(long seed) {
            this.random = new SplittableRandom(seed);
        }

        private void play() {
            for (int step = 0; step < 400; step++) {
                now += random.nextInt(30) * MILLI;
                settle();
                if (random.nextInt(3) == 0) {
                    slots.enqueue(name(random.nextInt(14)), OptionalLong.empty(), now);
                }
                slots.next(now).ifPresent(this::carryOut);
                assertThat(resident.size() + coming.size()).isLessThanOrEqualTo(PLACES);
                assertThat(window.inFlight()).isBetween(0, PLACES);
            }
        }

        private void settle() {
            coming.entrySet().removeIf(each -> each.getValue() <= now && resident.add(each.getKey()));
            if (awaitingRuns.isPresent() && runsEndAt <= now) {
                resident.remove(awaitingRuns.get());
                awaitingRuns = Optional.empty();
            }
            List<Late> due = late.stream().filter(each -> each.at() <= now).toList();
            late.removeAll(due);
            due.forEach(each -> obey(each.order()));
        }

        private void carryOut(AdapterSlots.Step step) {
            if (step instanceof AdapterSlots.Step.ReadReport) {
                report();
                return;
            }
            AdapterSlots.Step.Send send = (AdapterSlots.Step.Send) step;
            switch (random.nextInt(12)) {
                case 0 -> {
                    late.add(new Late(send, now + random.nextLong(LATE_MILLIS) * MILLI));
                    slots.answered(send, OrderResult.UNKNOWN, now);
                }
                case 1 -> {
                    obey(send);
                    slots.answered(send, OrderResult.UNKNOWN, now);
                }
                default -> slots.answered(send, obey(send), now);
            }
        }

        private void report() {
            if (random.nextInt(5) == 0) {
                slots.reportFailed(now);
                return;
            }
            Map<String, Long> there = new HashMap<>();
            resident.forEach(adapter -> there.put(adapter.adapter(), 1L));
            Set<String> onTheWay = new HashSet<>();
            coming.keySet().forEach(adapter -> onTheWay.add(adapter.adapter()));
            slots.reported(new TargetReport(orders, Map.of("base", there), onTheWay), now);
        }

        private OrderResult obey(AdapterSlots.Step.Send send) {
            AdapterName adapter = send.adapter().orElseThrow();
            boolean loads = send.operation() == Order.Operation.LOAD;
            if (loads && coming.containsKey(adapter)) {
                return OrderResult.ACCEPTED;
            }
            if (awaitingRuns.isPresent()) {
                return awaitingRuns.get().equals(adapter) && !loads ? OrderResult.ACCEPTED : OrderResult.CONFLICT;
            }
            if (loads == resident.contains(adapter)) {
                return OrderResult.ALREADY_SO;
            }
            if (send.expectedOrders() != orders) {
                return OrderResult.CONFLICT;
            }
            orders++;
            if (loads) {
                coming.put(adapter, now + LOAD_MILLIS * MILLI);
                return OrderResult.ACCEPTED;
            }
            if (random.nextInt(4) == 0) {
                awaitingRuns = Optional.of(adapter);
                runsEndAt = now + random.nextInt(1_500) * MILLI;
                return OrderResult.ACCEPTED;
            }
            resident.remove(adapter);
            return OrderResult.ALREADY_SO;
        }

        @Override
        public void arrived(AdapterName adapter, long version) {
            // The oracle looks at the target, not at what is believed of it.
        }

        @Override
        public void leaves(AdapterName adapter) {
            // The oracle looks at the target, not at what is believed of it.
        }

        @Override
        public void modelArrived() {
            // The base model is there from the beginning.
        }
    }
}
