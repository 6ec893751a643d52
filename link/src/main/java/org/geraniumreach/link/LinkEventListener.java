package org.geraniumreach.link;

import org.geraniumreach.model.EventCode;

/**
 * Is told of what an operator should see of links.
 *
 * <p>Contract: calls may come from several threads at once and must not block.
 */
@FunctionalInterface
public interface LinkEventListener {

    /**
     * Tells of an event.
     *
     * @param event the event, not null
     * @param detail what happened to which link, without any content of frames, not null
     */
    void onEvent(EventCode event, String detail);
}
