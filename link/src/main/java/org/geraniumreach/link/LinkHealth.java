package org.geraniumreach.link;

/**
 * Decides from pings and pongs whether a link is alive.
 *
 * <p>Only a pong counts as a sign of life: it alone shows that both directions work. Frames that merely arrive do not
 * show that anything sent still gets through. Unanswered pings are counted rather than time, so a process that was frozen
 * itself does not take its peers for dead when it goes on.
 *
 * <p>Invariant: between two verdicts of {@link Action#CLOSE} at least the limit of pings went unanswered. Not safe for use
 * by several threads.
 */
final class LinkHealth {

    private final int unansweredLimit;
    private long lastSentPing;
    private long lastAnsweredPing;

    LinkHealth(int unansweredLimit) {
        this.unansweredLimit = unansweredLimit;
    }

    /** What to do with a link. */
    enum Action {
        /** Send a ping with {@link #pingNumber}. */
        PING,
        /** Give it up. */
        CLOSE
    }

    /**
     * Decides at the end of an interval.
     *
     * @return what to do, not null
     */
    Action tick() {
        if (lastSentPing - lastAnsweredPing >= unansweredLimit) {
            return Action.CLOSE;
        }
        lastSentPing++;
        return Action.PING;
    }

    long pingNumber() {
        return lastSentPing;
    }

    /**
     * Notes a pong.
     *
     * @param number the ping's number; one that was never sent is ignored
     */
    void onPong(long number) {
        if (number <= lastSentPing && number > lastAnsweredPing) {
            lastAnsweredPing = number;
        }
    }
}
