package org.geraniumreach.daemon.node;

import java.time.Duration;

import org.geraniumreach.daemon.settings.ConsistentSettings;
import org.geraniumreach.daemon.settings.DataSize;
import org.geraniumreach.daemon.settings.Setting;
import org.geraniumreach.link.LinkSettings;

/**
 * The link settings that operators can change.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param pingInterval the time between two heartbeats
 * @param unansweredPings the number of unanswered heartbeats after which a link is closed
 * @param resumeLimit how long an attempt waits for a new link to its companion
 * @param maximumFrame the maximum size of a frame
 * @param threads the number of event loop threads
 */
public record LinkTuning(
        @Setting(value = "500ms", least = "20ms", greatest = "1m", about = "The time between two heartbeats.")
                Duration pingInterval,
        @Setting(
                        value = "3",
                        least = "2",
                        greatest = "100",
                        about = "The heartbeats without an answer after which a link is given up.")
                int unansweredPings,
        @Setting(
                        value = "10s",
                        least = "100ms",
                        greatest = "5m",
                        about = "How long an attempt waits for a new link to its companion.")
                Duration resumeLimit,
        @Setting(value = "4MiB", least = "64KiB", greatest = "64MiB", about = "The largest frame.")
                DataSize maximumFrame,
        @Setting(value = "2", least = "1", greatest = "64", about = "The event loops of links.") int threads)
        implements ConsistentSettings {

    @Override
    public void requireConsistent() {
        toLinkSettings();
    }

    LinkSettings toLinkSettings() {
        LinkSettings defaults = LinkSettings.defaults();
        return new LinkSettings(
                defaults.connectLimit(),
                defaults.helloLimit(),
                pingInterval,
                unansweredPings,
                defaults.leastBackoff(),
                defaults.greatestBackoff(),
                (int) maximumFrame.bytes(),
                defaults.writeBufferLow(),
                defaults.writeBufferHigh(),
                threads,
                resumeLimit,
                defaults.answerLimit(),
                defaults.deadlineGrace());
    }
}
