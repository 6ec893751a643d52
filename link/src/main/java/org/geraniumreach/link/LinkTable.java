package org.geraniumreach.link;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.model.InstanceId;

/**
 * The open links, indexed by instance.
 *
 * <p>Invariants: all links of one instance have the same incarnation, and no two of them the same direction. The most
 * recent link is preferred: when one end has given up a silent link that the other end still considers open, only the
 * new link works. Safe for use by several threads.
 *
 * @param <L> the type of links
 */
final class LinkTable<L extends LinkTable.Connection> {

    private final Map<InstanceId, List<L>> links = new HashMap<>();

    /** A link whose Hello has been received. */
    interface Connection {
        InstanceId instance();

        long incarnation();

        boolean isInbound();
    }

    /**
     * The result of adding a link.
     *
     * @param admitted whether the link was added
     * @param superseded the links that it replaces, which the caller must close
     * @param <L> the type of links
     */
    record Admission<L>(boolean admitted, List<L> superseded) {}

    synchronized Admission<L> add(L link) {
        List<L> current = links.getOrDefault(link.instance(), List.of());
        if (current.stream().anyMatch(other -> other.incarnation() > link.incarnation())) {
            return new Admission<>(false, List.of());
        }
        List<L> kept = new ArrayList<>();
        List<L> superseded = new ArrayList<>();
        kept.add(link);
        for (L other : current) {
            boolean keep = other.incarnation() == link.incarnation() && other.isInbound() != link.isInbound();
            (keep ? kept : superseded).add(other);
        }
        links.put(link.instance(), kept);
        return new Admission<>(true, superseded);
    }

    synchronized void remove(L link) {
        List<L> current = links.get(link.instance());
        if (current == null) {
            return;
        }
        current.remove(link);
        if (current.isEmpty()) {
            links.remove(link.instance());
        }
    }

    synchronized Optional<L> find(InstanceId instance) {
        return Optional.ofNullable(links.get(instance)).map(current -> current.get(0));
    }

    synchronized List<L> newest() {
        return links.values().stream().map(current -> current.get(0)).toList();
    }

    synchronized List<L> all() {
        return links.values().stream().flatMap(List::stream).toList();
    }
}
