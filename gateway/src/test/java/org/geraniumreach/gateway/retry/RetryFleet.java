package org.geraniumreach.gateway.retry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

import org.geraniumreach.gateway.division.EqualDivision;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.port.TargetSignals;
import org.geraniumreach.gateway.process.ProcessSettings.RepeatLimits;
import org.geraniumreach.gateway.testing.RequestHarness;
import org.geraniumreach.gateway.testing.RetryWindows;
import org.geraniumreach.gateway.testing.VirtualTime;

/**
 * Entries that send requests of callers to the targets of one service, in virtual time, and retry what fails as long as their budgets allow it.
 *
 * <p>Counts arrivals at the targets, whenever what caused them was sent. Confined to one thread.
 */
final class RetryFleet {

    static final RepeatLimits LIMITS = new RepeatLimits(0.2, 82, Duration.ofSeconds(10));

    private static final String SERVICE = "service";
    private static final int TARGETS = 30;
    private static final int MAXIMUM_SENDS = 4;
    private static final Duration SILENCE = Duration.ofMillis(1_500);
    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(8);
    private static final Duration STEP = Duration.ofMillis(20);
    private static final Duration ANSWER_TIME = Duration.ofMillis(60);
    private static final Duration FIRST_RETRANSMISSION = Duration.ofMillis(200);
    private static final TargetSignals SIGNALS =
            new TargetSignals(Optional.empty(), Optional.empty(), false, true, Optional.empty());

    private final VirtualTime time = new VirtualTime();
    private final Random random;
    private final List<Entry> entries = new ArrayList<>();
    private final List<ServingTarget> targets = new ArrayList<>();
    private final Set<String> rows = new HashSet<>();
    private final List<Long> requests = new ArrayList<>();
    private final List<Long> retryArrivals = new ArrayList<>();
    private int started;
    private int served;
    private int repeatedSends;
    private double requestsPerSecond;
    private double lossRate;
    private int callerRepeats;
    private double shareOfFirstEntry;
    private boolean tableReadable = true;
    private double pendingRequests;

    /** How a target treats what reaches it. */
    enum Behavior {
        SERVING,
        REJECTING,
        /** Keeps what arrives until it goes on. */
        PAUSED,
        /** Is gone with all that was sent to it. */
        LOST
    }

    private static final class ServingTarget {
        private final Target target;
        private final List<Runnable> held = new ArrayList<>();
        private Behavior behavior = Behavior.SERVING;

        private ServingTarget(Target target) {
            this.target = target;
        }
    }

    /** One incarnation of an entry's process, with the entries that it knows. */
    private final class Entry {
        private final String name;
        private final Set<String> known;
        private final RetryBudgets budgets;
        private boolean ended;

        private Entry(String name) {
            this.name = name;
            this.known = new HashSet<>(rows);
            this.budgets = new RetryBudgets(LIMITS, new EqualDivision(name, () -> known), time);
        }
    }

    /** One request of a caller at one entry. */
    private final class CallerRequest {
        private final Entry entry;
        private final RequestArrivals arrivals;
        private final Set<ServingTarget> tried = new HashSet<>();
        private final Set<Sending> answered = new HashSet<>();
        private final long deadline = time.nanos() + CALLER_TIMEOUT.toNanos();
        private final int repeatsLeft;
        private boolean arrived;
        private boolean ended;

        private CallerRequest(Entry entry, int repeatsLeft) {
            this.entry = entry;
            this.repeatsLeft = repeatsLeft;
            this.arrivals = entry.budgets.receive(SERVICE, time.nanos());
            requests.add(time.nanos());
        }

        private Duration remaining() {
            return Duration.ofNanos(deadline - time.nanos());
        }

        private void send() {
            boolean allowed = !arrivals.mayHaveArrived()
                    || entry.budgets
                            .decide(SERVICE, remaining(), Optional.empty())
                            .granted();
            if (entry.ended || tried.size() == MAXIMUM_SENDS || !allowed) {
                fail();
                return;
            }
            repeatedSends += tried.isEmpty() ? 0 : 1;
            ServingTarget target = anyTarget(tried);
            tried.add(target);
            Sending sending = arrivals.send(target.target);
            Consumer<TargetSignals> signals = entry.budgets.onCall(target.target);
            Runnable arrival = () -> arrive(target, sending, signals);
            time.schedule(transmissionTime(), () -> reach(target, arrival));
            time.schedule(SILENCE, () -> abandon(sending));
        }

        private void abandon(Sending sending) {
            if (!ended && !entry.ended && !answered.contains(sending)) {
                sending.onAbandoned();
                send();
            }
        }

        private void arrive(ServingTarget target, Sending sending, Consumer<TargetSignals> signals) {
            if (arrived) {
                retryArrivals.add(time.nanos());
            }
            arrived = true;
            boolean rejected = target.behavior == Behavior.REJECTING;
            time.schedule(ANSWER_TIME, () -> onAnswer(sending, signals, rejected));
        }

        private void onAnswer(Sending sending, Consumer<TargetSignals> signals, boolean rejected) {
            if (entry.ended || ended || !answered.add(sending)) {
                return;
            }
            sending.onArrived();
            signals.accept(SIGNALS);
            if (rejected) {
                send();
            } else {
                ended = true;
                served++;
            }
        }

        private void fail() {
            if (ended) {
                return;
            }
            ended = true;
            if (repeatsLeft > 0) {
                new CallerRequest(anyEntry(), repeatsLeft - 1).send();
            }
        }
    }

    RetryFleet(int entryCount, long seed) {
        random = new Random(seed);
        RequestHarness harness = new RequestHarness();
        for (int number = 0; number < TARGETS; number++) {
            harness.addTarget("target-" + number);
        }
        harness.registry().findByService(SERVICE).forEach(target -> targets.add(new ServingTarget(target)));
        for (; started < entryCount; started++) {
            rows.add("entry-" + started);
        }
        rows.forEach(name -> entries.add(new Entry(name)));
    }

    private Duration transmissionTime() {
        Duration delay = Duration.ofMillis(1);
        for (Duration next = FIRST_RETRANSMISSION; random.nextDouble() < lossRate; next = next.multipliedBy(2)) {
            delay = delay.plus(next);
        }
        return delay;
    }

    private void reach(ServingTarget target, Runnable arrival) {
        switch (target.behavior) {
            case PAUSED -> target.held.add(arrival);
            case LOST -> {
                // Nothing remains of what was sent to it.
            }
            default -> arrival.run();
        }
    }

    private ServingTarget anyTarget(Set<ServingTarget> excluded) {
        List<ServingTarget> others =
                targets.stream().filter(target -> !excluded.contains(target)).toList();
        return others.get(random.nextInt(others.size()));
    }

    private Entry anyEntry() {
        return random.nextDouble() < shareOfFirstEntry ? entries.get(0) : entries.get(random.nextInt(entries.size()));
    }

    /** Sets the rate of new requests over all entries. */
    void setRequestsPerSecond(double rate) {
        requestsPerSecond = rate;
    }

    /** Sets the number of times that a caller repeats a failed request at once. */
    void setCallerRepeats(int repeats) {
        callerRepeats = repeats;
    }

    /** Sets the part of the requests that the first entry gets. */
    void setShareOfFirstEntry(double share) {
        shareOfFirstEntry = share;
    }

    /** Sets the part of the transmissions that are lost and made again. */
    void setLossRate(double rate) {
        lossRate = rate;
    }

    /** Sets whether entries can read the table of entries; those that start meanwhile have read it before. */
    void setTableReadable(boolean readable) {
        tableReadable = readable;
        if (readable) {
            entries.forEach(entry -> {
                entry.known.clear();
                entry.known.addAll(rows);
            });
        }
    }

    /** Sets the behavior of a part of the targets, and lets what was held back arrive if they go on. */
    void setBehavior(double part, Behavior behavior) {
        for (ServingTarget target : targets.subList(0, (int) (part * TARGETS))) {
            target.behavior = behavior;
            if (behavior != Behavior.PAUSED) {
                List<Runnable> held = List.copyOf(target.held);
                target.held.clear();
                held.forEach(arrival -> reach(target, arrival));
            }
        }
    }

    /** Starts a new process of a number of entries, whose former ones leave what they have sent under way. */
    void restart(int count) {
        for (int number = 0; number < count; number++) {
            int index = random.nextInt(entries.size());
            entries.get(index).ended = true;
            entries.set(index, new Entry(entries.get(index).name));
        }
    }

    /** Adds entries, which all others know as soon as they can read the table. */
    void join(int count) {
        for (int number = 0; number < count; number++) {
            String name = "entry-" + started++;
            rows.add(name);
            entries.add(new Entry(name));
            if (tableReadable) {
                entries.forEach(entry -> entry.known.add(name));
            }
        }
    }

    /** Replaces entries by others of new names. */
    void replace(int count) {
        for (int number = 0; number < count; number++) {
            Entry leaving = entries.remove(random.nextInt(entries.size()));
            leaving.ended = true;
            rows.remove(leaving.name);
            if (tableReadable) {
                entries.forEach(entry -> entry.known.remove(leaving.name));
            }
        }
        join(count);
    }

    void advance(Duration duration) {
        for (long step = 0; step < duration.dividedBy(STEP); step++) {
            time.advance(STEP);
            pendingRequests += requestsPerSecond * STEP.toMillis() / 1_000.0;
            for (; pendingRequests >= 1; pendingRequests--) {
                new CallerRequest(anyEntry(), callerRepeats).send();
            }
        }
    }

    /** Gets the largest number of retries in a window, as a share of those that are allowed there. */
    double maximumUsedShare() {
        return new RetryWindows(LIMITS, requests, retryArrivals)
                .windows()
                .mapToDouble(RetryWindows.Window::usedShare)
                .max()
                .orElseThrow();
    }

    int retries() {
        return retryArrivals.size();
    }

    int repeatedSends() {
        return repeatedSends;
    }

    double servedShare() {
        return (double) served / requests.size();
    }
}
