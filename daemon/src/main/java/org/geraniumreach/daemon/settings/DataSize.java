package org.geraniumreach.daemon.settings;

/**
 * A number of bytes.
 *
 * <p>Invariant: not negative. Immutable and safe for use by several threads.
 *
 * @param bytes the number
 */
public record DataSize(long bytes) implements Comparable<DataSize> {

    public DataSize {
        if (bytes < 0) {
            throw new IllegalArgumentException("negative size: " + bytes);
        }
    }

    @Override
    public int compareTo(DataSize other) {
        return Long.compare(bytes, other.bytes);
    }
}
