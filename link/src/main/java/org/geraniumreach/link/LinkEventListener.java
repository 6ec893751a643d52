package org.geraniumreach.link;

import org.geraniumreach.model.EventCode;

/**
 * Receives link events to be reported to operators.
 *
 * <p>Contract: calls may come from several threads at once and must not block.
 */
@FunctionalInterface
public interface LinkEventListener {

    /**
     * Called for each event.
     *
     * @param event the event, not null
     * @param detail the link and what happened to it, without any content of frames, not null
     */
    void onEvent(EventCode event, String detail);
}
