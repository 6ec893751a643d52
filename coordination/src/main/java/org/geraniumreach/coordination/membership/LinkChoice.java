package org.geraniumreach.coordination.membership;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.geraniumreach.model.InstanceId;

/**
 * Chooses which links an entry keeps, so that news reach every instance over few hops and no instance has many links.
 *
 * <p>While the fleet is small, an entry keeps a link with every other one. Beyond that, entries stand on several rings, each
 * in an order of its own, and keep links with their successors; the rings together are a graph in which any entry is a few
 * hops from any other. Each companion chooses its entries, so that none is left without one. All who know the same instances
 * choose alike. Immutable and safe for use by several threads.
 *
 * @param fullMeshEntries up to how many entries all link with all
 * @param rings the number of rings beyond that
 * @param fullMeshCompanions up to how many companions every entry links with all of them
 * @param entriesOfCompanion how many entries link with each companion beyond that
 */
public record LinkChoice(int fullMeshEntries, int rings, int fullMeshCompanions, int entriesOfCompanion) {

    /**
     * Chooses the entries with which an entry keeps links; of two entries the one with the lesser name keeps it.
     *
     * @param self the entry, not null
     * @param entries all entries, not null
     * @return the entries chosen, not null
     */
    public Set<InstanceId> entries(InstanceId self, Set<InstanceId> entries) {
        Set<InstanceId> all = new TreeSet<>(entries);
        all.add(self);
        Set<InstanceId> chosen = all.size() <= fullMeshEntries ? all : ringNeighbours(self, all);
        return chosen.stream().filter(other -> self.compareTo(other) < 0).collect(TreeSet::new, Set::add, Set::addAll);
    }

    private Set<InstanceId> ringNeighbours(InstanceId self, Set<InstanceId> all) {
        Set<InstanceId> neighbours = new TreeSet<>();
        for (int ring = 0; ring < rings; ring++) {
            String subject = "ring-" + ring;
            List<InstanceId> order = Rendezvous.order(subject, all);
            int place = order.indexOf(self);
            neighbours.add(order.get((place + 1) % order.size()));
            neighbours.add(order.get((place + order.size() - 1) % order.size()));
        }
        return neighbours;
    }

    /**
     * Chooses the companions with which an entry keeps links.
     *
     * @param self the entry, not null
     * @param entries all entries, not null
     * @param companions all companions, not null
     * @return the companions chosen, not null
     */
    public Set<InstanceId> companions(InstanceId self, Set<InstanceId> entries, Set<InstanceId> companions) {
        if (companions.size() <= fullMeshCompanions) {
            return new TreeSet<>(companions);
        }
        Set<InstanceId> all = new TreeSet<>(entries);
        all.add(self);
        Set<InstanceId> chosen = new TreeSet<>();
        for (InstanceId companion : companions) {
            if (Rendezvous.isChosen(companion.value(), all, entriesOfCompanion, self)) {
                chosen.add(companion);
            }
        }
        return chosen;
    }
}
