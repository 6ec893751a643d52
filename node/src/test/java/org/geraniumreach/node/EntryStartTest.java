package org.geraniumreach.node;

import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/** Sends signals to entries that start as processes. */
class EntryStartTest {

    private static final long TIME_AFTER_START_MILLIS = 100;
    private static final long EXIT_TIME_MILLIS = 1_000;

    @TempDir
    private Path directory;

    /** Guards against a process that ends when it is told to read its settings again before it listens to signals. */
    @Test
    void anEntryThatStartsIsNotEndedByTheSignalToReadItsSettings() throws Exception {
        try (FakePlatform platform = new FakePlatform();
                EntryProcesses entries = new EntryProcesses(platform, 1, directory)) {
            EntryProcesses.Entry entry = entries.entries().get(0);
            Thread.sleep(TIME_AFTER_START_MILLIS);
            entry.signal("HUP");
            Thread.sleep(EXIT_TIME_MILLIS);
            assertThat(entry.isAlive()).isTrue();
        }
    }
}
