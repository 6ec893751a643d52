package org.geraniumreach.coordination.membership;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.geraniumreach.model.InstanceId;

/**
 * Selects the links that an entry maintains, so that changes reach every instance over few hops and no instance has many
 * links.
 *
 * <p>The entries of a small fleet form a full mesh. In a larger fleet, the entries are arranged on several rings, each with
 * its own order, and link with their neighbours; the union of the rings is a graph of small diameter. The entries that link
 * with a companion are selected per companion, so that none is left without a link. Processes that know the same instances
 * make the same selection. Immutable and safe for use by several threads.
 *
 * @param fullMeshEntries the maximum number of entries that form a full mesh
 * @param rings the number of rings in a larger fleet
 * @param fullMeshCompanions the maximum number of companions with which every entry links
 * @param entriesOfCompanion the number of entries that link with each companion in a larger fleet
 */
public record LinkSelector(int fullMeshEntries, int rings, int fullMeshCompanions, int entriesOfCompanion) {

    /**
     * Selects the entries with which an entry maintains links. Of two linked entries, the one with the lesser name maintains
     * the link.
     *
     * @param self the entry, not null
     * @param entries all entries, not null
     * @return the selected entries, not null
     */
    public Set<InstanceId> selectEntries(InstanceId self, Set<InstanceId> entries) {
        Set<InstanceId> all = new TreeSet<>(entries);
        all.add(self);
        Set<InstanceId> selected = all.size() <= fullMeshEntries ? all : ringNeighbours(self, all);
        return selected.stream()
                .filter(other -> self.compareTo(other) < 0)
                .collect(TreeSet::new, Set::add, Set::addAll);
    }

    private Set<InstanceId> ringNeighbours(InstanceId self, Set<InstanceId> all) {
        Set<InstanceId> neighbours = new TreeSet<>();
        for (int ring = 0; ring < rings; ring++) {
            String hashKey = "ring-" + ring;
            List<InstanceId> order = RendezvousHashing.order(hashKey, all);
            int position = order.indexOf(self);
            neighbours.add(order.get((position + 1) % order.size()));
            neighbours.add(order.get((position + order.size() - 1) % order.size()));
        }
        return neighbours;
    }

    /**
     * Selects the companions with which an entry maintains links.
     *
     * @param self the entry, not null
     * @param entries all entries, not null
     * @param companions all companions, not null
     * @return the selected companions, not null
     */
    public Set<InstanceId> selectCompanions(InstanceId self, Set<InstanceId> entries, Set<InstanceId> companions) {
        if (companions.size() <= fullMeshCompanions) {
            return new TreeSet<>(companions);
        }
        Set<InstanceId> all = new TreeSet<>(entries);
        all.add(self);
        Set<InstanceId> selected = new TreeSet<>();
        for (InstanceId companion : companions) {
            if (RendezvousHashing.isChosen(companion.value(), all, entriesOfCompanion, self)) {
                selected.add(companion);
            }
        }
        return selected;
    }
}
