package org.geraniumreach.daemon.http;

import java.time.Duration;

import org.geraniumreach.daemon.settings.DataSize;
import org.geraniumreach.daemon.settings.Setting;

/**
 * The limits and timeouts of an HTTP listener.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param body the maximum size of a body
 * @param headers the maximum size of a header block
 * @param headerCount the maximum number of headers
 * @param idle how long a connection may be idle between calls
 * @param bodyWait how long a caller may take to send its body
 * @param writeStall how long a caller may read no bytes of a response before its call is cancelled
 * @param workers the number of threads that read calls
 */
public record HttpLimits(
        @Setting(value = "1MiB", least = "1KiB", greatest = "64MiB", about = "The largest body of a call.")
                DataSize body,
        @Setting(value = "16KiB", least = "1KiB", greatest = "256KiB", about = "The largest header block of a call.")
                DataSize headers,
        @Setting(value = "100", least = "8", greatest = "1000", about = "The most headers of a call.") int headerCount,
        @Setting(value = "60s", least = "1s", greatest = "1h", about = "How long a connection may be idle.")
                Duration idle,
        @Setting(value = "20s", least = "1s", greatest = "5m", about = "How long a caller may take to send its body.")
                Duration bodyWait,
        @Setting(
                        value = "20s",
                        least = "1s",
                        greatest = "5m",
                        about = "How long a caller may take no bytes of a reply before its call is cancelled.")
                Duration writeStall,
        @Setting(value = "8", least = "1", greatest = "256", about = "The threads that read calls.") int workers) {}
