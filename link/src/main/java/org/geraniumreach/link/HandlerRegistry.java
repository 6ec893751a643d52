package org.geraniumreach.link;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

import org.geraniumreach.messages.Frame;

/**
 * The registered handlers by kind of frame.
 *
 * <p>Invariant: handlers are kept in the order of their registration and are never removed. Safe for use by several
 * threads.
 */
final class HandlerRegistry {

    private final Map<Frame.BodyCase, List<FrameHandler>> byKind = new EnumMap<>(Frame.BodyCase.class);
    private final List<FrameHandler> all = new CopyOnWriteArrayList<>();

    HandlerRegistry() {
        for (Frame.BodyCase kind : Frame.BodyCase.values()) {
            byKind.put(kind, new CopyOnWriteArrayList<>());
        }
    }

    void add(Set<Frame.BodyCase> kinds, FrameHandler handler) {
        all.add(handler);
        kinds.forEach(kind -> byKind.get(kind).add(handler));
    }

    List<FrameHandler> all() {
        return all;
    }

    List<FrameHandler> forKind(Frame.BodyCase kind) {
        return byKind.get(kind);
    }
}
