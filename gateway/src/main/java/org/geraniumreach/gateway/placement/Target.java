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
 * One incarnation of a target, with this entry's view of its adapters and load.
 *
 * <p>Invariant: an observation of an adapter (from a load order, an answer, or an update of the owning entry)
 * overrides the target's row for {@link #ROW_LAG}, since the row reflects an earlier state. Confined to the event
 * loop.
 */
public final class Target {

    /** Rows are written every 1.2 s from a state that is 0.2 s old, and are read within another 0.6 s. */
    static final Duration ROW_LAG = Duration.ofMillis(2_500);

    /** How long the times of sent requests are kept. */
    public static final Duration SEND_HISTORY = Duration.ofSeconds(2);

    private final Map<AdapterName, Residency> residencies = new HashMap<>();
    private final Deque<SentPrompt> recentPrompts = new ArrayDeque<>();
    private final Deque<Long> sendTimes = new ArrayDeque<>();
    private final Set<String> learntModels = new HashSet<>();
    private final int hash;
    private final long joinedAt;
    private TargetDescription description;
    private long lastRowAt;
    private long lastSignAt;
    private long lastHeardAt;
    private int outstanding;
    private long pendingPromptTokens;
    private int reportedRunning;
    private int reportedWaiting;
    private int outstandingAtReport;
    private long reportedAt = Long.MIN_VALUE;
    private boolean leaving;

    /** A prompt that was sent to the target. */
    private record SentPrompt(long tokens, long sentAt) {}

    /** The resident version of an adapter, empty if it is absent, and when and how that became known. */
    private record Residency(OptionalLong version, long observedAt, boolean observedDirectly) {}

    Target(TargetDescription description, long now) {
        this.description = Objects.requireNonNull(description, "description");
        this.hash = Rendezvous.hash(description.id().value());
        this.joinedAt = now;
        this.lastSignAt = now;
        this.lastHeardAt = now;
        applyRow(description, now);
    }

    public TargetId id() {
        return description.id();
    }

    /** Gets the hash of the target name, cached because each placement ranks all targets. */
    int hash() {
        return hash;
    }

    /**
     * Gets the time at which this entry discovered this incarnation.
     *
     * @return the time of the monotonic clock, in nanoseconds
     */
    public long joinedAt() {
        return joinedAt;
    }

    public TargetDescription description() {
        return description;
    }

    /**
     * Gets a time at which this incarnation certainly ran, as its latest row was written later.
     *
     * @return the time of the monotonic clock, in nanoseconds
     */
    public long confirmedAt() {
        return lastRowAt - ROW_LAG.toNanos();
    }

    /**
     * Records that the target has sent something.
     *
     * @param now the time of the monotonic clock, in nanoseconds
     */
    public void recordSign(long now) {
        lastSignAt = now;
        lastHeardAt = now;
    }

    /**
     * Gets the time at which the target has sent something, or at which this entry discovered it, whatever has been sent to it since.
     *
     * @return the time of the monotonic clock, in nanoseconds
     */
    public long lastHeardAt() {
        return lastHeardAt;
    }

    /**
     * Gets the time at which the target has sent something, or of the first request that waits for one, if that was sent later.
     *
     * @return the time of the monotonic clock, in nanoseconds
     */
    public long lastSignAt() {
        return lastSignAt;
    }

    /** Applies a newer row; a late heartbeat written before the target began to drain does not end its draining. */
    void update(TargetDescription newer, long now) {
        leaving |= description.draining();
        description = newer;
        applyRow(newer, now);
    }

    private void applyRow(TargetDescription row, long now) {
        lastRowAt = now;
        Map<AdapterName, Long> listed = new HashMap<>();
        row.models()
                .forEach((model, versions) ->
                        versions.forEach((adapter, version) -> listed.put(new AdapterName(model, adapter), version)));
        residencies.values().removeIf(residency -> !overridesRow(residency, now));
        listed.forEach((adapter, version) ->
                residencies.putIfAbsent(adapter, new Residency(OptionalLong.of(version), now, false)));
    }

    private static boolean overridesRow(Residency residency, long now) {
        return residency.observedDirectly() && now - residency.observedAt() < ROW_LAG.toNanos();
    }

    /**
     * Records that an adapter is resident.
     *
     * @param adapter the adapter, not null
     * @param version the resident version
     * @param now the current time
     */
    public void learnResident(AdapterName adapter, long version, long now) {
        residencies.put(adapter, new Residency(OptionalLong.of(version), now, true));
    }

    /**
     * Records that an adapter is not resident.
     *
     * @param adapter the adapter, not null
     * @param now the current time
     */
    public void learnAbsent(AdapterName adapter, long now) {
        residencies.put(adapter, new Residency(OptionalLong.empty(), now, true));
    }

    /**
     * Finds the resident version of an adapter.
     *
     * @param adapter the adapter, not null
     * @return the version, or empty if the adapter is not resident
     */
    public OptionalLong residentVersion(AdapterName adapter) {
        Residency residency = residencies.get(adapter);
        return residency == null ? OptionalLong.empty() : residency.version();
    }

    /**
     * Queries whether the target holds an adapter in a version that may be used.
     *
     * @param adapter the adapter, not null
     * @param minimumVersion the lowest version that may be used, 0 for any
     * @return true if it does
     */
    public boolean holds(AdapterName adapter, long minimumVersion) {
        OptionalLong version = residentVersion(adapter);
        return version.isPresent() && version.getAsLong() >= minimumVersion;
    }

    /**
     * Gets the resident adapters.
     *
     * @return the versions by adapter name, not null
     */
    public Map<AdapterName, Long> residents() {
        Map<AdapterName, Long> residents = new HashMap<>();
        residencies.forEach(
                (adapter, residency) -> residency.version().ifPresent(version -> residents.put(adapter, version)));
        return residents;
    }

    /**
     * Queries whether the target holds a base model.
     *
     * @param model the model name, not null
     * @return true if it does
     */
    public boolean holdsModel(String model) {
        return description.models().containsKey(model) || learntModels.contains(model);
    }

    /**
     * Records that the target holds a base model, which its row may not list yet.
     *
     * @param model the model name, not null
     */
    public void learnModel(String model) {
        learntModels.add(model);
    }

    /** Marks the target as leaving: it accepts no new requests, whatever its row says. */
    public void markLeaving() {
        leaving = true;
    }

    /**
     * Queries whether new requests may be sent to the target.
     *
     * @return true if it may
     */
    public boolean acceptsRequests() {
        return !leaving && !description.draining();
    }

    /**
     * Records that a request was sent.
     *
     * @param promptTokens the tokens of its prompt, 0 if it has none
     * @param now the current time
     */
    public void onRequestSent(long promptTokens, long now) {
        if (outstanding == 0) {
            lastSignAt = now;
        }
        outstanding++;
        discardOldSends(now);
        sendTimes.addLast(now);
        pendingPromptTokens += promptTokens;
        if (promptTokens > 0) {
            recentPrompts.addLast(new SentPrompt(promptTokens, now));
        }
    }

    /**
     * Counts the requests that this entry sent within a recent window.
     *
     * @param window the length of the window, at most {@link #SEND_HISTORY}, not null
     * @param now the current time
     * @return the number of requests
     */
    public int countSends(Duration window, long now) {
        discardOldSends(now);
        return (int) sendTimes.stream()
                .filter(sentAt -> now - sentAt < window.toNanos())
                .count();
    }

    private void discardOldSends(long now) {
        while (!sendTimes.isEmpty() && now - sendTimes.peekFirst() >= SEND_HISTORY.toNanos()) {
            sendTimes.removeFirst();
        }
    }

    /**
     * Computes the delay after which a prompt can be sent without exceeding the token limit of a window.
     *
     * @param promptTokens the tokens of the prompt
     * @param limit the maximum tokens per window; a longer prompt gets a window of its own
     * @param window the length of the window, not null
     * @param now the current time
     * @return the delay, zero if the prompt can be sent at once, not null
     */
    public Duration prefillDelay(long promptTokens, long limit, Duration window, long now) {
        while (!recentPrompts.isEmpty() && now - recentPrompts.peekFirst().sentAt() >= window.toNanos()) {
            recentPrompts.removeFirst();
        }
        long sum = promptTokens;
        Duration delay = Duration.ZERO;
        Iterator<SentPrompt> newestFirst = recentPrompts.descendingIterator();
        while (newestFirst.hasNext()) {
            SentPrompt prompt = newestFirst.next();
            sum += prompt.tokens();
            if (sum > limit) {
                delay = Duration.ofNanos(prompt.sentAt() + window.toNanos() - now);
                break;
            }
        }
        return delay;
    }

    /**
     * Records that the prefill of a request has completed, or that the request ended before.
     *
     * @param promptTokens the tokens that were recorded when the request was sent
     */
    public void onPrefillEnded(long promptTokens) {
        pendingPromptTokens -= promptTokens;
    }

    /** Records that a request that was sent has ended. */
    public void onRequestEnded() {
        outstanding--;
    }

    /**
     * Records the load reported in an answer of the target.
     *
     * @param running the requests running at the target
     * @param waiting the requests queued at the target
     * @param now the current time
     */
    public void onLoadReport(int running, int waiting, long now) {
        reportedRunning = running;
        reportedWaiting = waiting;
        outstandingAtReport = outstanding;
        reportedAt = now;
    }

    /**
     * Estimates the number of requests at the target, from all entries.
     *
     * @param now the current time
     * @param reportLifetime how long a load report is used, not null
     * @return the number of requests
     */
    public int load(long now, Duration reportLifetime) {
        if (reportedAt == Long.MIN_VALUE || now - reportedAt > reportLifetime.toNanos()) {
            return outstanding;
        }
        return Math.max(outstanding, reportedRunning + reportedWaiting + outstanding - outstandingAtReport);
    }

    /**
     * Estimates the number of requests that wait for a slot at the target.
     *
     * @param now the current time
     * @param reportLifetime how long a load report is used, not null
     * @return the number of requests
     */
    public int waiting(long now, Duration reportLifetime) {
        return Math.max(0, load(now, reportLifetime) - description.slots());
    }

    /**
     * Gets the number of running and queued requests in the target's last load report.
     *
     * @return the number of requests, 0 if there is no report
     */
    public int reportedLoad() {
        return reportedRunning + reportedWaiting;
    }

    /**
     * Gets the age of the target's last load report.
     *
     * @param now the current time
     * @return the age, or empty if there is no report
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
