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

    private static final LinkChoice SELECTOR = new LinkChoice(16, 3, 64, 8);

    private static Set<InstanceId> instances(String prefix, int count) {
        return IntStream.range(0, count)
                .mapToObj(index -> InstanceId.of(prefix + index))
                .collect(TreeSet::new, Set::add, Set::addAll);
    }

    /*
     * Failure: a part of the fleet does not hear of changes, or hears of them after many hops, because the links between
     * entries do not connect them. Every entry must be few hops from every other, over few links.
     */
    @ParameterizedTest
    @CsvSource({"3,1,2", "16,1,15", "17,4,6", "100,5,6", "340,6,6"})
    void entriesAreConnectedWithinFewHops(int count, int mostHops, int mostLinks) {
        Set<InstanceId> entries = instances("entry-", count);
        Map<InstanceId, Set<InstanceId>> links = new TreeMap<>();
        entries.forEach(entry -> links.put(entry, new TreeSet<>()));
        for (InstanceId entry : entries) {
            for (InstanceId other : SELECTOR.entries(entry, entries)) {
                assertThat(links.get(entry).add(other)).isTrue();
                assertThat(links.get(other).add(entry)).isTrue();
            }
        }
        assertThat(links.values()).allMatch(neighbours -> neighbours.size() <= mostLinks);
        for (InstanceId entry : entries) {
            Map<InstanceId, Integer> hops = hopsFrom(entry, links);
            assertThat(hops.keySet()).isEqualTo(entries);
            assertThat(hops.values()).allMatch(distance -> distance <= mostHops);
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
     * Failure: a companion is left without any entry and its target without work, when each entry chooses some companions
     * by itself. Each companion has its number of entries, and no entry many more companions than another.
     */
    @Test
    void everyCompanionHasConfiguredNumberOfEntries() {
        Set<InstanceId> entries = instances("entry-", 340);
        Set<InstanceId> companions = instances("companion-", 760);
        Map<InstanceId, Integer> entriesOf = new HashMap<>();
        for (InstanceId entry : entries) {
            Set<InstanceId> chosen = SELECTOR.companions(entry, entries, companions);
            assertThat(chosen.size()).isBetween(1, 40);
            chosen.forEach(companion -> entriesOf.merge(companion, 1, Integer::sum));
        }
        assertThat(entriesOf.keySet()).isEqualTo(companions);
        assertThat(entriesOf.values()).allMatch(count -> count == 8);
    }

    @Test
    void smallFleetIsFullyMeshed() {
        Set<InstanceId> entries = instances("entry-", 3);
        Set<InstanceId> companions = instances("companion-", 16);
        InstanceId first = InstanceId.of("entry-0");
        assertThat(SELECTOR.companions(first, entries, companions)).isEqualTo(companions);
        assertThat(SELECTOR.entries(first, entries)).hasSize(2);
    }
}
