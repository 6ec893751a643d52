package org.geraniumreach.coordination.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.IntStream;

import org.geraniumreach.model.InstanceId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class LinkSelectorTest {

    private static final LinkSelector SELECTOR = new LinkSelector(16, 3, 64, 8);

    private static Set<InstanceId> instances(String prefix, int count) {
        return IntStream.range(0, count)
                .mapToObj(index -> InstanceId.of(prefix + index))
                .collect(TreeSet::new, Set::add, Set::addAll);
    }

    /*
     * Failure: changes do not reach part of the fleet, or only over many hops, because the links between entries do not
     * connect them closely. Every entry must reach every other over few hops, with few links.
     */
    @ParameterizedTest
    @CsvSource({"3,1,2", "16,1,15", "17,4,6", "100,5,6", "340,6,6"})
    void entriesAreConnectedWithinFewHops(int count, int maxHops, int maxLinks) {
        Set<InstanceId> entries = instances("entry-", count);
        Map<InstanceId, Set<InstanceId>> links = new TreeMap<>();
        entries.forEach(entry -> links.put(entry, new TreeSet<>()));
        for (InstanceId entry : entries) {
            for (InstanceId other : SELECTOR.selectEntries(entry, entries)) {
                assertThat(links.get(entry).add(other)).isTrue();
                assertThat(links.get(other).add(entry)).isTrue();
            }
        }
        assertThat(links.values()).allMatch(neighbours -> neighbours.size() <= maxLinks);
        for (InstanceId entry : entries) {
            Map<InstanceId, Integer> hops = hopsFrom(entry, links);
            assertThat(hops.keySet()).isEqualTo(entries);
            assertThat(hops.values()).allMatch(distance -> distance <= maxHops);
        }
    }

    private static Map<InstanceId, Integer> hopsFrom(InstanceId from, Map<InstanceId, Set<InstanceId>> links) {
        Map<InstanceId, Integer> hops = new HashMap<>(Map.of(from, 0));
        Deque<InstanceId> queue = new ArrayDeque<>(Set.of(from));
        while (!queue.isEmpty()) {
            InstanceId next = queue.remove();
            for (InstanceId neighbour : links.get(next)) {
                if (hops.putIfAbsent(neighbour, hops.get(next) + 1) == null) {
                    queue.add(neighbour);
                }
            }
        }
        return hops;
    }

    /*
     * Failure: a companion has no entry, and its target no work, because each entry selects companions on its own. Each
     * companion must have the configured number of entries, and the companions must be spread evenly over the entries.
     */
    @Test
    void everyCompanionHasConfiguredNumberOfEntries() {
        Set<InstanceId> entries = instances("entry-", 340);
        Set<InstanceId> companions = instances("companion-", 760);
        Map<InstanceId, Integer> entryCounts = new HashMap<>();
        for (InstanceId entry : entries) {
            Set<InstanceId> selected = SELECTOR.selectCompanions(entry, entries, companions);
            assertThat(selected.size()).isBetween(1, 40);
            selected.forEach(companion -> entryCounts.merge(companion, 1, Integer::sum));
        }
        assertThat(entryCounts.keySet()).isEqualTo(companions);
        assertThat(entryCounts.values()).allMatch(count -> count == 8);
    }

    @Test
    void smallFleetIsFullyMeshed() {
        Set<InstanceId> entries = instances("entry-", 3);
        Set<InstanceId> companions = instances("companion-", 16);
        InstanceId first = InstanceId.of("entry-0");
        assertThat(SELECTOR.selectCompanions(first, entries, companions)).isEqualTo(companions);
        assertThat(SELECTOR.selectEntries(first, entries)).hasSize(2);
    }
}
