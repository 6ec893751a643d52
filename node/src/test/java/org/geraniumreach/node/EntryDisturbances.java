package org.geraniumreach.node;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Stream;

/** Disturbs entries with signals and records when, in nanoseconds. Safe for use by several threads. */
final class EntryDisturbances {

    /** The time after SIGTERM at which a process is killed. */
    static final Duration GRACE = Duration.ofSeconds(8);

    /** An entry owes its callers nothing for so long after a disturbance that is no planned work. */
    static final Duration CONTACT_TIME = Duration.ofSeconds(3);

    private static final int MAXIMUM_STOP_MILLIS = 2_500;

    /** What happens to a process; only a signal to end or to read the settings again is planned work. */
    enum Kind {
        HANGUP(true),
        END(true),
        KILL(false),
        STOP(false),
        START(false);

        private final boolean planned;

        Kind(boolean planned) {
            this.planned = planned;
        }
    }

    private record Disturbance(int entry, Kind kind, long from, long to) {}

    private final EntryProcesses entries;
    private final Queue<Disturbance> past = new ConcurrentLinkedQueue<>();
    private final Queue<String> faults = new ConcurrentLinkedQueue<>();

    EntryDisturbances(EntryProcesses entries) {
        this.entries = entries;
        for (int number = 0; number < entries.entries().size(); number++) {
            record(number, Kind.START, System.nanoTime());
        }
    }

    /** Returns what the processes did that they may not. */
    List<String> faults() {
        return List.copyOf(faults);
    }

    /** Sends a signal to an entry and starts it again if it ends. */
    void disturb(int number, Random random) throws Exception {
        EntryProcesses.Entry entry = entries.entries().get(number);
        Kind kind = List.of(Kind.HANGUP, Kind.HANGUP, Kind.END, Kind.END, Kind.KILL, Kind.STOP)
                .get(random.nextInt(6));
        long pauseMillis = random.nextInt(MAXIMUM_STOP_MILLIS);
        synchronized (entry) {
            if (!entry.isAlive()) {
                faults.add("entry " + number + " has ended by itself");
            }
            long from = System.nanoTime();
            switch (kind) {
                case HANGUP:
                    entry.signal("HUP");
                    record(number, kind, from);
                    break;
                case STOP:
                    entry.signal("STOP");
                    Thread.sleep(pauseMillis);
                    entry.signal("CONT");
                    record(number, kind, from);
                    break;
                case END:
                    end(number, entry, from);
                    start(number, entry);
                    break;
                default:
                    entry.kill();
                    record(number, Kind.KILL, from);
                    start(number, entry);
            }
        }
    }

    private void end(int number, EntryProcesses.Entry entry, long from) throws Exception {
        entry.signal("TERM");
        long killAt = from + GRACE.toNanos();
        while (entry.isAlive() && System.nanoTime() < killAt) {
            Thread.sleep(10);
        }
        if (entry.isAlive()) {
            faults.add("entry " + number + " was killed after its grace");
            entry.kill();
        }
        record(number, Kind.END, from);
    }

    private void start(int number, EntryProcesses.Entry entry) throws Exception {
        long from = System.nanoTime();
        entry.start();
        record(number, Kind.START, from);
        // EntryStartTest sends signals to processes that start.
        entry.awaitReady();
    }

    private void record(int entry, Kind kind, long from) {
        past.add(new Disturbance(entry, kind, from, System.nanoTime()));
    }

    /** Returns whether nothing but planned work has happened to an entry in a span and in the contact time before it. */
    boolean wasInTouch(int entry, long from, long to) {
        return past.stream()
                .noneMatch(each -> each.entry() == entry
                        && !each.kind().planned
                        && each.from() <= to
                        && each.to() >= from - CONTACT_TIME.toNanos());
    }

    /** Returns whether the log lines of requests in a span may be lost. */
    boolean wasKilled(int entry, long from, long to) {
        return past.stream()
                .anyMatch(each -> each.entry() == entry
                        && each.kind() == Kind.KILL
                        && each.from() <= to + CONTACT_TIME.toNanos()
                        && each.to() >= from);
    }

    /** Returns when the last signal to end came that an answer met, if any. */
    Optional<Long> endedAfter(int entry, long from, long to) {
        return past.stream()
                .filter(each ->
                        each.entry() == entry && each.kind() == Kind.END && each.from() <= to && each.to() >= from)
                .map(Disturbance::from)
                .reduce((first, second) -> second);
    }

    /** Returns whether a signal to end or to read the settings came during an answer, or less than the contact time before it. */
    boolean metPlannedWork(int entry, long from, long to) {
        return during(entry, from, to).anyMatch(kind -> kind.planned);
    }

    /** Names what happened to an entry during an answer, or less than the contact time before it. */
    String describe(int entry, long from, long to) {
        return during(entry, from, to).distinct().toList().toString();
    }

    private Stream<Kind> during(int entry, long from, long to) {
        return past.stream()
                .filter(each ->
                        each.entry() == entry && each.from() <= to && each.to() >= from - CONTACT_TIME.toNanos())
                .map(Disturbance::kind);
    }
}
