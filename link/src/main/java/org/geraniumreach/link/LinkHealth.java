package org.geraniumreach.link;

/**
 * Detects dead links by counting unanswered pings.
 *
 * <p>Only a pong shows that both directions work; other received frames do not show that sent frames still arrive.
 * Unanswered pings are counted instead of elapsed time, so a process that was suspended does not consider its peers
 * dead when it resumes.
 *
 * <p>Invariant: {@link Action#CLOSE} is returned only after at least the limit of pings went unanswered. Not safe for
 * use by several threads.
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
        /** Send a ping with the number {@link #pingNumber}. */
        PING,
        /** Close the link. */
        CLOSE
    }

    /**
     * Decides what to do at the end of a ping interval.
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
     * Records a pong.
     *
     * @param number the number of the answered ping; a number that was never sent is ignored
     */
    void onPong(long number) {
        if (number <= lastSentPing && number > lastAnsweredPing) {
            lastAnsweredPing = number;
        }
    }
}
