package org.geraniumreach.gateway.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.geraniumreach.gateway.adapter.Lease;
import org.geraniumreach.gateway.capacity.EntryCapacity;
import org.geraniumreach.gateway.testing.VirtualTime;
import org.geraniumreach.gateway.traffic.Account;
import org.geraniumreach.model.AccountId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ShareHoldersTest {

    private static final int ENTRIES = 340;
    private static final int ACCOUNTS = 3_000;

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 4, 5, 33, 340})
    void entriesAgreeOnAtMostTwoHolders(int count) {
        List<String> entries = entries(count);
        long holders = entries.stream()
                .filter(entry ->
                        holders(entry, entries, EntryCapacity.uniform()).isHolder(AccountId.of("acme")))
                .count();
        assertThat(holders).isEqualTo(Math.min(2, count));
    }

    /** Guards against entries that disagree on the holders since they have learnt of one another in another order. */
    @Property(tries = 100)
    void holdersDoNotDependOnEarlierEntriesAndCapacities(@ForAll long seed) {
        Random random = new Random(seed);
        List<AccountId> accounts = IntStream.range(0, 20)
                .mapToObj(number -> AccountId.of("acme-" + number))
                .toList();
        Map<String, Double> capacities = new HashMap<>();
        ShareHolders holders = new ShareHolders("entry-0");
        for (int change = 0; change < 20; change++) {
            capacities.put("entry-" + random.nextInt(8), random.nextInt(3) + 1.0);
            EntryCapacity capacity = entry -> capacities.getOrDefault(entry, 1.0);
            List<String> entries = new ArrayList<>(entries(8));
            entries.removeIf(entry -> random.nextInt(3) == 0);
            holders.setEntries(entries, capacity);
            ShareHolders fresh = holders("entry-0", entries, capacity);
            assertThat(accounts).allMatch(account -> holders.isHolder(account) == fresh.isHolder(account));
        }
    }

    /** Guards against an event loop that ranks all entries for all accounts each time that shares are looked at. */
    @Test
    void unchangedEntriesAreNotRankedAgain() {
        VirtualTime time = new VirtualTime();
        Quotas quotas = new Quotas(
                "entry-0",
                new Lease(time, time::wallMillis),
                new Quotas.Tolerance(0, 0, Duration.ofSeconds(1)),
                time,
                (event, id, fields) -> {});
        Map<AccountId, Account> accounts = IntStream.range(0, ACCOUNTS)
                .mapToObj(number -> AccountId.of("acme-" + number))
                .collect(Collectors.toMap(id -> id, id -> new Account(id, 10, 10, true, 200, OptionalInt.empty())));
        quotas.configure(accounts, Duration.ofSeconds(1));
        AtomicLong calls = new AtomicLong();
        quotas.setEntryCapacity(entry -> {
            calls.incrementAndGet();
            return 1;
        });
        quotas.proposeTransaction(entries(ENTRIES), Map.of());
        calls.set(0);
        quotas.proposeTransaction(entries(ENTRIES), Map.of());
        assertThat(calls.get()).isLessThanOrEqualTo(ENTRIES + 1);
    }

    private static ShareHolders holders(String self, List<String> entries, EntryCapacity capacity) {
        ShareHolders holders = new ShareHolders(self);
        holders.setEntries(entries, capacity);
        return holders;
    }

    private static List<String> entries(int count) {
        return IntStream.range(0, count).mapToObj(number -> "entry-" + number).toList();
    }
}
