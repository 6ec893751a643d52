package org.geraniumreach.standins.http;

/**
 * The faults that a stand-in shows at present.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param down connections are refused
 * @param hang calls are accepted and never answered
 * @param slowMillis how much later each call is begun
 * @param loseAnswers the connection is closed after the call took effect, in place of an answer
 * @param swallowAnswers the call takes effect and its connection stays open without an answer
 * @param failLoads loads of adapters fail
 * @param wrongVersion the engine runs another version than named
 * @param dropAfterChunks the engine closes a stream's connection after so many chunks, 0 for never
 * @param path the start of the paths that are struck, empty for all
 * @param count the number of calls that are struck before the fault is over, 0 for no end
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

    /** No fault. */
    public static final Faults NONE = new Faults(false, false, 0, false, false, false, false, 0, "", 0);

    public Faults {
        path = path == null ? "" : path;
        if (slowMillis < 0 || dropAfterChunks < 0 || count < 0) {
            throw new IllegalArgumentException("negative number in faults: slowMillis " + slowMillis
                    + ", dropAfterChunks " + dropAfterChunks + ", count " + count);
        }
    }
}
