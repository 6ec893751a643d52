package org.geraniumreach.link;

/**
 * Decides from pings and pongs whether a link is alive.
 *
 * <p>Only a pong counts as a sign of life: it alone shows that both directions work. Frames that merely arrive do not
 * show that anything sent still gets through. Unanswered pings are counted rather than time, so a process that was frozen
 * itself does not take its peers for dead when it goes on.
 *
 * <p>Invariant: between two verdicts of {@link Verdict#SILENT} at least the limit of pings went unanswered. Not safe for use
 * by several threads.
 */
final class LinkHealth {

    private final int unansweredLimit;
    private long sent;
    private long answered;

    LinkHealth(int unansweredLimit) {
        this.unansweredLimit = unansweredLimit;
    }

    /** What to do with a link. */
    enum Verdict {
        /** Send a ping with {@link #pingNumber}. */
        PING,
        /** Give it up. */
        SILENT
    }

    /**
     * Decides at the end of an interval.
     *
     * @return what to do, not null
     */
    Verdict tick() {
        if (sent - answered >= unansweredLimit) {
            return Verdict.SILENT;
        }
        sent++;
        return Verdict.PING;
    }

    long pingNumber() {
        return sent;
    }

    /**
     * Notes a pong.
     *
     * @param number the ping's number; one that was never sent is ignored
     */
    void pong(long number) {
        if (number <= sent && number > answered) {
            answered = number;
        }
    }
}
