package org.geraniumreach.gateway.placement;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.serving.routing.Rendezvous;

/**
 * One life of a target, with what this entry knows of its adapters and its load.
 *
 * <p>Invariant: what this entry learnt itself of an adapter (by an order, an answer, or the holder's news) counts for
 * {@link #ROW_LAG} against the target's row, which tells of an older moment. Confined to the event loop.
 */
public final class Target {

    /** A row is written each 1.2 s of what was so 0.2 s before, and is read within another 0.6 s. */
    static final Duration ROW_LAG = Duration.ofMillis(2_500);

    /** How long sends are counted. */
    public static final Duration SEND_HISTORY = Duration.ofSeconds(2);

    private final Map<AdapterName, Residency> residencies = new HashMap<>();
    private final Deque<SentPrompt> recentPrompts = new ArrayDeque<>();
    private final Deque<Long> sendTimes = new ArrayDeque<>();
    private final Set<String> learntModels = new HashSet<>();
    private final int hash;
    private final long joinedAt;
    private TargetDescription description;
    private int outstanding;
    private long pendingPromptTokens;
    private int reportedRunning;
    private int reportedWaiting;
    private int outstandingAtReport;
    private long reportedAt = Long.MIN_VALUE;
    private boolean leaving;

    /** A prompt that was sent. */
    private record SentPrompt(long tokens, long sentAt) {}

    /** Whether an adapter is there, and since when that is known for certain. */
    private record Residency(OptionalLong version, long observedAt, boolean observedDirectly) {}

    Target(TargetDescription description, long now) {
        this.description = Objects.requireNonNull(description, "description");
        this.hash = Rendezvous.hash(description.id().value());
        this.joinedAt = now;
        applyRow(description, now);
    }

    public TargetId id() {
        return description.id();
    }

    /** Gets the hash of its name, which is needed for each order of each request. */
    int hash() {
        return hash;
    }

    /**
     * Gets when this entry first knew of this life.
     *
     * @return the time by the clock, in nanoseconds
     */
    public long joinedAt() {
        return joinedAt;
    }

    public TargetDescription description() {
        return description;
    }

    /** Takes newer news from the target's row; a late heartbeat from before a target began to drain does not end its draining. */
    void update(TargetDescription newer, long now) {
        leaving |= description.draining();
        description = newer;
        applyRow(newer, now);
    }

    private void applyRow(TargetDescription row, long now) {
        Map<AdapterName, Long> listed = new HashMap<>();
        row.models()
                .forEach((model, held) ->
                        held.forEach((adapter, version) -> listed.put(new AdapterName(model, adapter), version)));
        residencies.values().removeIf(residence -> !overridesRow(residence, now));
        listed.forEach((adapter, version) ->
                residencies.putIfAbsent(adapter, new Residency(OptionalLong.of(version), now, false)));
    }

    private static boolean overridesRow(Residency residence, long now) {
        return residence.observedDirectly() && now - residence.observedAt() < ROW_LAG.toNanos();
    }

    /**
     * Notes that an adapter is there.
     *
     * @param adapter the adapter, not null
     * @param version its version
     * @param now the time
     */
    public void learnResident(AdapterName adapter, long version, long now) {
        residencies.put(adapter, new Residency(OptionalLong.of(version), now, true));
    }

    /**
     * Notes that an adapter is not there.
     *
     * @param adapter the adapter, not null
     * @param now the time
     */
    public void learnAbsent(AdapterName adapter, long now) {
        residencies.put(adapter, new Residency(OptionalLong.empty(), now, true));
    }

    /**
     * Finds the version of an adapter that is there.
     *
     * @param adapter the adapter, not null
     * @return the version, or empty if the adapter is not there
     */
    public OptionalLong residentVersion(AdapterName adapter) {
        Residency residence = residencies.get(adapter);
        return residence == null ? OptionalLong.empty() : residence.version();
    }

    /**
     * Gets the adapters that are there.
     *
     * @return their versions by their names, not null
     */
    public Map<AdapterName, Long> residents() {
        Map<AdapterName, Long> residents = new HashMap<>();
        residencies.forEach(
                (adapter, residence) -> residence.version().ifPresent(version -> residents.put(adapter, version)));
        return residents;
    }

    /**
     * Queries whether a base model is there.
     *
     * @param model its name, not null
     * @return true if it is
     */
    public boolean holdsModel(String model) {
        return description.models().containsKey(model) || learntModels.contains(model);
    }

    /**
     * Notes that a base model is there, though the row may not say so yet.
     *
     * @param model its name, not null
     */
    public void learnModel(String model) {
        learntModels.add(model);
    }

    /** Notes that it takes no new work, whatever its row says. */
    public void markLeaving() {
        leaving = true;
    }

    /**
     * Queries whether new work may be sent to it.
     *
     * @return true if it may
     */
    public boolean acceptsRequests() {
        return !leaving && !description.draining();
    }

    /**
     * Notes that a request was sent.
     *
     * @param promptTokens the tokens that it has to read first
     * @param now the time
     */
    public void sent(long promptTokens, long now) {
        outstanding++;
        discardOldSends(now);
        sendTimes.addLast(now);
        pendingPromptTokens += promptTokens;
        if (promptTokens > 0) {
            recentPrompts.addLast(new SentPrompt(promptTokens, now));
        }
    }

    /**
     * Counts the requests that this entry has sent lately.
     *
     * @param window the time until now within which they were sent, at most {@link #SEND_HISTORY}, not null
     * @param now the time
     * @return how many
     */
    public int sentWithin(Duration window, long now) {
        discardOldSends(now);
        return (int)
                sendTimes.stream().filter(at -> now - at < window.toNanos()).count();
    }

    private void discardOldSends(long now) {
        while (!sendTimes.isEmpty() && now - sendTimes.peekFirst() >= SEND_HISTORY.toNanos()) {
            sendTimes.removeFirst();
        }
    }

    /**
     * Tells after what time a prompt may be sent without making too much to read within a window.
     *
     * @param promptTokens the prompt's tokens
     * @param limit the most tokens of a window; a longer prompt goes into a window of its own
     * @param window the window, not null
     * @param now the time
     * @return the time, not null
     */
    public Duration prefillDelay(long promptTokens, long limit, Duration window, long now) {
        while (!recentPrompts.isEmpty() && now - recentPrompts.peekFirst().sentAt() >= window.toNanos()) {
            recentPrompts.removeFirst();
        }
        long sum = promptTokens;
        Duration delay = Duration.ZERO;
        Iterator<SentPrompt> newestFirst = recentPrompts.descendingIterator();
        while (newestFirst.hasNext()) {
            SentPrompt each = newestFirst.next();
            sum += each.tokens();
            if (sum > limit) {
                delay = Duration.ofNanos(each.sentAt() + window.toNanos() - now);
                break;
            }
        }
        return delay;
    }

    /**
     * Notes that a request's prompt is read, or that it ended before.
     *
     * @param promptTokens the tokens that were told at its sending
     */
    public void onPrefillEnded(long promptTokens) {
        pendingPromptTokens -= promptTokens;
    }

    /** Notes that a request that was sent has ended. */
    public void onRequestEnded() {
        outstanding--;
    }

    /**
     * Takes what an answer says of the load.
     *
     * @param running the requests that run there
     * @param waiting the requests that wait there
     * @param now the time
     */
    public void reportedLoad(int running, int waiting, long now) {
        reportedRunning = running;
        reportedWaiting = waiting;
        outstandingAtReport = outstanding;
        reportedAt = now;
    }

    /**
     * Estimates the requests there, of all entries.
     *
     * @param now the time
     * @param reportLifetime for how long a report counts
     * @return the number
     */
    public int load(long now, Duration reportLifetime) {
        if (reportedAt == Long.MIN_VALUE || now - reportedAt > reportLifetime.toNanos()) {
            return outstanding;
        }
        return Math.max(outstanding, reportedRunning + reportedWaiting + outstanding - outstandingAtReport);
    }

    /**
     * Estimates the requests that wait there for a slot.
     *
     * @param now the time
     * @param reportLifetime for how long a report counts
     * @return the number
     */
    public int waiting(long now, Duration reportLifetime) {
        return Math.max(0, load(now, reportLifetime) - description.slots());
    }

    /**
     * Gets the requests that ran and waited there by its own last word.
     *
     * @return the number, 0 if it has not said
     */
    public int reportedLoad() {
        return reportedRunning + reportedWaiting;
    }

    /**
     * Tells how old its own last word of its load is.
     *
     * @param now the time
     * @return the age, or empty if it has not said
     */
    public Optional<Duration> reportAge(long now) {
        return reportedAt == Long.MIN_VALUE ? Optional.empty() : Optional.of(Duration.ofNanos(now - reportedAt));
    }

    public int outstanding() {
        return outstanding;
    }

    public long pendingPromptTokens() {
        return pendingPromptTokens;
    }
}
