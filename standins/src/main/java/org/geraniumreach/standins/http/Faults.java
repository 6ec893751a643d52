package org.geraniumreach.standins.http;

/**
 * The faults that a stand-in injects into calls.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param down whether connections are refused
 * @param hang whether calls are accepted and neither handled nor answered
 * @param slowMillis the delay before a call is handled, in milliseconds
 * @param loseAnswers whether the connection is closed in place of an answer, after the call took effect
 * @param swallowAnswers whether the call takes effect and its connection stays open without an answer
 * @param failLoads whether adapter loads fail
 * @param wrongVersion whether the engine serves another version than requested
 * @param dropAfterChunks the number of chunks after which the engine closes a stream's connection, 0 for never
 * @param path the prefix of the affected paths, empty for all
 * @param count the number of calls to affect before the faults are disabled, 0 for no limit
 */
public record Faults(
        boolean down,
        boolean hang,
        long slowMillis,
        boolean loseAnswers,
        boolean swallowAnswers,
        boolean failLoads,
        boolean wrongVersion,
        int dropAfterChunks,
        String path,
        int count) {

    /** No faults. */
    public static final Faults NONE = new Faults(false, false, 0, false, false, false, false, 0, "", 0);

    public Faults {
        path = path == null ? "" : path;
        if (slowMillis < 0 || dropAfterChunks < 0 || count < 0) {
            throw new IllegalArgumentException("negative number in faults: slowMillis " + slowMillis
                    + ", dropAfterChunks " + dropAfterChunks + ", count " + count);
        }
    }
}
