package org.geraniumreach.gateway.stream;

import java.util.ArrayList;
import java.util.List;

/**
 * The recording of a stream's origin at other entries, before which no event of the stream may reach its caller.
 *
 * <p>Invariant: it is confirmed at most once, and then stays so. Confined to the event loop.
 */
public final class Recording {

    private final List<Runnable> waiters = new ArrayList<>(1);
    private boolean confirmed;
    private boolean sentToOthers;

    Recording() {}

    /**
     * Obtains a recording that needs no confirmation.
     *
     * @return the recording, not null
     */
    public static Recording confirmed() {
        Recording recording = new Recording();
        recording.confirm();
        return recording;
    }

    /**
     * Queries whether events may reach the caller.
     *
     * @return true if they may
     */
    public boolean isConfirmed() {
        return confirmed;
    }

    /**
     * Queries whether other entries may keep the origin.
     *
     * @return false if only this entry knows it
     */
    public boolean isSentToOthers() {
        return sentToOthers;
    }

    void setSentToOthers() {
        sentToOthers = true;
    }

    /**
     * Runs an action once events may reach the caller, at once if they may already.
     *
     * @param action the action, not null
     */
    public void onConfirmed(Runnable action) {
        if (confirmed) {
            action.run();
            return;
        }
        waiters.add(action);
    }

    void confirm() {
        if (confirmed) {
            return;
        }
        confirmed = true;
        List.copyOf(waiters).forEach(Runnable::run);
        waiters.clear();
    }
}
