package org.geraniumreach.coordination.budget;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.geraniumreach.coordination.SimulatedTable;
import org.geraniumreach.coordination.budget.HolderId.ListedHolder;
import org.geraniumreach.model.InstanceId;

import static org.assertj.core.api.Assertions.assertThat;

/** Simulates entries, a network, an instance list and a table service, controlled by a fuzzer. */
final class BudgetSimulation {

    static final int MAX_ENTRIES = 6;
    private static final int INITIAL_ENTRIES = 3;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long LIST_LAG_MILLIS = 1000;
    private static final int DRIFT_PARTS_PER_MILLION = 10_000;
    private static final int OUTAGE_ROUNDS = 24;
    private static final int OUTAGE_ROUND_MILLIS = 400;
    /** The bursts are small compared with the rates, so that even a little budget spent twice exceeds them. */
    private static final long[][] RATES = {{1000, 400}, {300, 100}, {3000, 800}};

    private static final BudgetPolicy POLICY = new BudgetPolicy(
            SharingPolicy.byDemand(),
            Duration.ofSeconds(1),
            Duration.ofSeconds(3),
            Duration.ofMillis(LIST_LAG_MILLIS),
            Duration.ofMillis(6500),
            Duration.ofSeconds(1),
            Duration.ofMillis(100),
            Duration.ofSeconds(1),
            Duration.ofMillis(500),
            DRIFT_PARTS_PER_MILLION);

    final SimulatedTable table = new SimulatedTable();
    final AdmittedTokens admittedTokens = new AdmittedTokens();
    long now;
    private final List<SimulatedEntry> entries = new ArrayList<>();
    private final List<Message> messages = new ArrayList<>();
    private final List<Listing> listings = new ArrayList<>();
    private final List<RunningRequest> runningRequests = new ArrayList<>();
    private Set<ListedHolder> listed = new HashSet<>();
    private boolean storeReachable = true;
    private int rateIndex;
    private int startedEntries;

    BudgetSimulation() {
        for (int slot = 0; slot < INITIAL_ENTRIES; slot++) {
            startEntry(InstanceId.of("entry" + slot));
        }
        for (int round = 0; round < 4; round++) {
            advance(300);
            runWithoutFaults();
        }
    }

    /** A message in transit. */
    private record Message(InstanceId from, InstanceId to, Object content) {}

    /** The contents of the instance list from a time on. */
    private record Listing(long from, Set<ListedHolder> holders) {}

    /** A running request. */
    private record RunningRequest(SimulatedEntry entry, Grant grant) {}

    private void startEntry(InstanceId instance) {
        startedEntries++;
        HolderId id = new HolderId(instance, "address of " + instance, startedEntries);
        SimulatedEntry entry =
                new SimulatedEntry(this, id, POLICY, ((startedEntries + 1) % 3 - 1) * DRIFT_PARTS_PER_MILLION);
        entries.add(entry);
        entry.setRate(RATES[rateIndex][0], RATES[rateIndex][1]);
        recordRates();
        setListed(id.toListedHolder(), true);
    }

    private void setListed(ListedHolder holder, boolean isListed) {
        listed = new HashSet<>(listed);
        if (isListed) {
            listed.add(holder);
        } else {
            listed.remove(holder);
        }
        listings.add(new Listing(now, listed));
    }

    private void recordRates() {
        long rate = 0;
        long burst = 0;
        for (SimulatedEntry entry : entries) {
            rate = Math.max(rate, entry.dead ? 0 : entry.rate);
            burst = Math.max(burst, entry.dead ? 0 : entry.burst);
        }
        admittedTokens.addRatePeriod(now, rate, burst);
    }

    private SimulatedEntry entry(int choice) {
        return entries.get(choice % entries.size());
    }

    long ownParts(int choice) {
        return entry(choice).budget.ownParts(SimulatedEntry.ACCOUNT);
    }

    List<InstanceId> peersOf(SimulatedEntry self) {
        return entries.stream()
                .filter(entry -> !entry.dead)
                .map(SimulatedEntry::instance)
                .filter(instance -> !instance.equals(self.instance()))
                .toList();
    }

    void onGranted(SimulatedEntry entry, Grant grant) {
        admittedTokens.onAdmitted(now, grant);
        runningRequests.add(new RunningRequest(entry, grant));
    }

    void onRefused(BudgetAction.Refused refused) {
        assertThat(refused.retryAfter()).isPositive();
    }

    void send(SimulatedEntry from, InstanceId to, Object content) {
        messages.add(new Message(from.instance(), to, content));
    }

    void advance(int millis) {
        now += millis * NANOS_PER_MILLI;
    }

    void reserve(int choice, int units) {
        SimulatedEntry entry = entry(choice);
        if (entry.isActive()) {
            entry.wake();
            entry.requestTokens(units * 20L, Duration.ofSeconds(1));
        }
    }

    /** Lets every active entry spend all available tokens, so that budget held by two entries is spent twice. */
    void spendAll() {
        for (SimulatedEntry entry : List.copyOf(entries)) {
            if (entry.isActive()) {
                entry.requestAllTokens();
            }
        }
    }

    void settleRequest(int choice, int percent) {
        if (runningRequests.isEmpty()) {
            return;
        }
        RunningRequest request = runningRequests.get(choice % runningRequests.size());
        if (request.entry().isActive()) {
            runningRequests.remove(request);
            long actual = request.grant().tokens() * percent / 100;
            admittedTokens.onSettled(request.grant(), actual);
            request.entry().settle(request.grant(), actual);
        }
    }

    void storeStep(int choice, int outcome) {
        if (entry(choice).isActive()) {
            entry(choice).advanceStoreCall(outcome);
        }
    }

    void applyDelayed(int choice) {
        table.applyDelayed(choice);
    }

    void readList(int choice, int lagMillis) {
        if (entry(choice).isActive()) {
            entry(choice).readList(listedAt(now - lagMillis * NANOS_PER_MILLI));
        }
    }

    private Set<ListedHolder> listedAt(long time) {
        Set<ListedHolder> found = Set.of();
        for (Listing listing : listings) {
            if (listing.from() <= time) {
                found = listing.holders();
            }
        }
        return found;
    }

    void deliver(int choice, boolean redelivered, boolean dropped) {
        if (messages.isEmpty()) {
            return;
        }
        Message message = messages.get(choice % messages.size());
        if (!redelivered) {
            messages.remove(message);
        }
        for (SimulatedEntry entry : dropped ? List.<SimulatedEntry>of() : List.copyOf(entries)) {
            if (entry.isActive() && entry.instance().equals(message.to())) {
                entry.receive(message.from(), message.content());
            }
        }
    }

    void freeze(int choice) {
        entry(choice).frozen = !entry(choice).frozen;
    }

    /** Kills an entry and starts another one in its place, at the same address or at a new one. */
    void replace(int choice, boolean sameAddress) {
        SimulatedEntry replaced = entry(choice);
        if (replaced.dead || entries.size() >= MAX_ENTRIES) {
            return;
        }
        replaced.dead = true;
        runningRequests.removeIf(request -> request.entry() == replaced);
        recordRates();
        if (!sameAddress) {
            setListed(replaced.id.toListedHolder(), false);
        }
        startEntry(sameAddress ? replaced.instance() : InstanceId.of("entry" + (startedEntries + INITIAL_ENTRIES)));
    }

    /** Removes a live entry from the instance list or adds it again; optionally starts another entry. */
    void dropFromList(int choice, boolean replaced) {
        SimulatedEntry entry = entry(choice);
        setListed(entry.id.toListedHolder(), !entry.dead && !listed.contains(entry.id.toListedHolder()));
        if (replaced && entries.size() < MAX_ENTRIES) {
            startEntry(InstanceId.of("entry" + (startedEntries + INITIAL_ENTRIES)));
        }
    }

    void release(int choice) {
        if (entry(choice).isActive()) {
            entry(choice).budget.release();
        }
    }

    void toggleStore() {
        storeReachable = !storeReachable;
    }

    void changeRate(int choice) {
        rateIndex = choice % RATES.length;
    }

    void applyRate(int choice) {
        SimulatedEntry entry = entry(choice);
        if (entry.isActive()) {
            entry.setRate(RATES[rateIndex][0], RATES[rateIndex][1]);
            recordRates();
        }
    }

    /** Runs all entries once without faults: they read the list, call the table service and receive their messages. */
    void runWithoutFaults() {
        runWithoutFaults(MAX_ENTRIES, 0);
    }

    /** Runs all entries once, with a given outcome of one entry's calls to the table service. */
    void runWithoutFaults(int faulty, int outcome) {
        for (SimulatedEntry entry : List.copyOf(entries)) {
            if (entry.isActive()) {
                entry.readList(listedAt(now - LIST_LAG_MILLIS * NANOS_PER_MILLI / 2));
                entry.readList(listedAt(now - LIST_LAG_MILLIS * NANOS_PER_MILLI / 2));
                int usual = storeReachable ? 0 : 1;
                entry.runStoreCalls(entries.indexOf(entry) == faulty ? outcome : usual);
                entry.wake();
            }
        }
        for (int round = 0; round < 3; round++) {
            for (int count = messages.size(); count > 0; count--) {
                deliver(0, false, false);
            }
        }
    }

    /** A fault of one entry that lasts longer than the quarantine while the other entries continue. */
    enum Outage {
        FROZEN_AND_UNLISTED(true, true, false),
        UNLISTED(false, true, false),
        WITHOUT_STORE(false, false, true),
        UNLISTED_WITHOUT_STORE(false, true, true);

        private final boolean freezesEntry;
        private final boolean removesFromList;
        private final boolean disconnectsStore;

        Outage(boolean freezesEntry, boolean removesFromList, boolean disconnectsStore) {
            this.freezesEntry = freezesEntry;
            this.removesFromList = removesFromList;
            this.disconnectsStore = disconnectsStore;
        }
    }

    void runOutage(int choice, int kind) {
        SimulatedEntry entry = entry(choice);
        if (entry.dead) {
            return;
        }
        Outage outage = Outage.values()[kind];
        entry.frozen = outage.freezesEntry;
        setListed(entry.id.toListedHolder(), !outage.removesFromList);
        int disconnected = outage.disconnectsStore ? entries.indexOf(entry) : MAX_ENTRIES;
        for (int round = 0; round < OUTAGE_ROUNDS; round++) {
            advance(OUTAGE_ROUND_MILLIS);
            runWithoutFaults(disconnected, 1);
            spendAll();
        }
        entry.frozen = false;
        spendAll();
        setListed(entry.id.toListedHolder(), true);
        advance((int) LIST_LAG_MILLIS);
        runWithoutFaults(disconnected, 1);
        spendAll();
    }

    /** Runs 20 seconds without faults, with requests at all entries. */
    void recover() {
        for (int round = 0; round < 40; round++) {
            advance(500);
            runWithoutFaults();
            spendAll();
            for (int index = 0; index < entries.size(); index++) {
                reserve(index, 5);
            }
        }
    }
}
