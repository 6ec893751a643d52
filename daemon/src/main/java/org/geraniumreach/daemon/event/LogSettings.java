package org.geraniumreach.daemon.event;

import java.util.Locale;

import org.geraniumreach.daemon.settings.Setting;
import org.tinylog.configuration.Configuration;

/**
 * Settings of the log.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param format text or JSON
 * @param level the lowest level that is written
 */
public record LogSettings(
        @Setting(value = "text", about = "How a log line is written.") Format format,
        @Setting(value = "info", about = "The least level that is written.") Level level) {

    /** The formats of a log line. */
    public enum Format {
        TEXT,
        JSON
    }

    /** The levels, lowest first. */
    public enum Level {
        DEBUG,
        INFO,
        WARN,
        ERROR
    }

    /** Configures the log; must be called before the first line is logged. */
    public void apply() {
        LibraryMessages.install();
        Configuration.set("level", level.name().toLowerCase(Locale.ROOT));
        Configuration.set("level@io.netty", "warn");
        Configuration.set("writingthread", "true");
        Configuration.set("autoshutdown", "false");
        if (format == Format.JSON) {
            Configuration.set("writer", "json lines");
            return;
        }
        Configuration.set("writer", "console");
        Configuration.set("writer.stream", "out");
        Configuration.set("writer.format", "{date: yyyy-MM-dd'T'HH:mm:ss.SSSXXX} {level} {message}");
    }
}
