package org.geraniumreach.daemon;

import java.io.File;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * The command line options of the daemon, populated by args4j.
 *
 * <p>Confined to the main thread.
 */
final class Options {

    @Argument(index = 0, metaVar = "entry|companion|check", usage = "what to do")
    private String command = "";

    @Argument(index = 1, metaVar = "entry|companion", usage = "whose defaults to print, with check --print-defaults")
    private String role = "";

    @Option(name = "--settings", metaVar = "FILE", usage = "the settings, in YAML")
    private File settings;

    @Option(name = "--print-defaults", usage = "print the settings with their defaults, and end")
    private boolean printDefaults;

    @Option(name = "--help", help = true, usage = "print this, and end")
    private boolean help;

    String command() {
        return command;
    }

    String role() {
        return role;
    }

    File settings() {
        return settings;
    }

    boolean isPrintDefaults() {
        return printDefaults;
    }

    boolean isHelp() {
        return help;
    }
}
