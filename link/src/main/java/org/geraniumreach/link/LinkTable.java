package org.geraniumreach.link;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.model.InstanceId;

/**
 * The open links by instance.
 *
 * <p>Invariants: all links of one instance have the same incarnation, and no two of them the same direction. The link
 * opened last is the one found: where one end has given up a silent link that the other still believes in, the new one is
 * the one that works. Safe for use by several threads.
 *
 * @param <L> the type of links
 */
final class LinkTable<L extends LinkTable.Connection> {

    private final Map<InstanceId, List<L>> links = new HashMap<>();

    /** A link that has said Hello. */
    interface Connection {
        InstanceId instance();

        long incarnation();

        boolean isInbound();
    }

    /**
     * The answer to a new link.
     *
     * @param admitted whether it stays
     * @param superseded the links that it takes the place of, which the caller closes
     * @param <L> the type of links
     */
    record Admission<L>(boolean admitted, List<L> superseded) {}

    synchronized Admission<L> add(L link) {
        List<L> present = links.getOrDefault(link.instance(), List.of());
        if (present.stream().anyMatch(other -> other.incarnation() > link.incarnation())) {
            return new Admission<>(false, List.of());
        }
        List<L> staying = new ArrayList<>();
        List<L> superseded = new ArrayList<>();
        staying.add(link);
        for (L other : present) {
            boolean stays = other.incarnation() == link.incarnation() && other.isInbound() != link.isInbound();
            (stays ? staying : superseded).add(other);
        }
        links.put(link.instance(), staying);
        return new Admission<>(true, superseded);
    }

    synchronized void remove(L link) {
        List<L> present = links.get(link.instance());
        if (present == null) {
            return;
        }
        present.remove(link);
        if (present.isEmpty()) {
            links.remove(link.instance());
        }
    }

    synchronized Optional<L> find(InstanceId instance) {
        return Optional.ofNullable(links.get(instance)).map(present -> present.get(0));
    }

    synchronized List<L> newest() {
        return links.values().stream().map(present -> present.get(0)).toList();
    }

    synchronized List<L> all() {
        return links.values().stream().flatMap(List::stream).toList();
    }
}
