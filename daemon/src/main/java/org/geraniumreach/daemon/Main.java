package org.geraniumreach.daemon;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;

import org.geraniumreach.daemon.companion.CompanionDaemon;
import org.geraniumreach.daemon.companion.CompanionProcessSettings;
import org.geraniumreach.daemon.entry.EntryDaemon;
import org.geraniumreach.daemon.entry.EntrySettings;
import org.geraniumreach.daemon.node.Daemon;
import org.geraniumreach.daemon.node.DrainLoop;
import org.geraniumreach.daemon.node.NodeRole;
import org.geraniumreach.daemon.settings.SettingsException;
import org.geraniumreach.daemon.settings.SettingsPrinter;
import org.geraniumreach.daemon.settings.SettingsReader;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.process.Signals;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.tinylog.provider.ProviderRegistry;

/**
 * The main program of the daemon.
 *
 * <p>Exit codes: 0 for a regular end, 1 for a failure to start, 2 for an invalid command line or invalid settings.
 * Confined to the main thread.
 */
public final class Main {

    private static final int SUCCESS = 0;
    private static final int FAILURE = 1;
    private static final int USAGE = 2;
    private static final String CHECK = "check";

    private final PrintStream output;
    private final PrintStream errors;

    Main(PrintStream output, PrintStream errors) {
        this.output = output;
        this.errors = errors;
    }

    /**
     * Runs the daemon.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(new Main(System.out, System.err).run(arguments));
    }

    int run(String... arguments) {
        Options options = new Options();
        CmdLineParser parser = new CmdLineParser(options);
        try {
            parser.parseArgument(arguments);
            return run(options, parser);
        } catch (CmdLineException invalid) {
            return usage(parser, invalid.getMessage());
        }
    }

    private int run(Options options, CmdLineParser parser) throws CmdLineException {
        if (options.isHelp()) {
            usage(parser, "");
            return SUCCESS;
        }
        if (options.isPrintDefaults()) {
            NodeRole role = roleOf(options.command().equals(CHECK) ? options.role() : options.command(), parser);
            output.print(SettingsPrinter.print(settingsOf(role)));
            return SUCCESS;
        }
        if (options.settings() == null) {
            return usage(parser, "--settings FILE must be given");
        }
        try {
            String yaml = Files.readString(options.settings().toPath());
            return options.command().equals(CHECK) ? check(yaml) : serve(roleOf(options.command(), parser), yaml);
        } catch (SettingsException invalid) {
            invalid.mistakes().forEach(mistake -> errors.println(options.settings() + ": " + mistake));
            return USAGE;
        } catch (IOException failure) {
            errors.println("cannot start: " + failure.getMessage());
            return FAILURE;
        }
    }

    private static NodeRole roleOf(String label, CmdLineParser parser) throws CmdLineException {
        for (NodeRole role : NodeRole.values()) {
            if (role.label().equals(label)) {
                return role;
            }
        }
        throw new CmdLineException(parser, "'" + label + "' is not entry or companion", null);
    }

    private static Class<? extends Record> settingsOf(NodeRole role) {
        return role == NodeRole.ENTRY ? EntrySettings.class : CompanionProcessSettings.class;
    }

    private int check(String yaml) throws SettingsException {
        NodeRole role = SettingsReader.readOne(NodeRole.class, "role", yaml);
        SettingsReader.read(settingsOf(role), yaml);
        output.println("the settings of this " + role.label() + " are good");
        return SUCCESS;
    }

    private int serve(NodeRole role, String yaml) throws SettingsException, IOException {
        try (Daemon daemon = start(role, yaml)) {
            DrainLoop loop = new DrainLoop(daemon, MonotonicClock.system());
            Signals.onTerminate(loop::signal);
            loop.run();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        shutDownLog();
        return SUCCESS;
    }

    private static Daemon start(NodeRole role, String yaml) throws SettingsException, IOException {
        if (role == NodeRole.ENTRY) {
            EntrySettings settings = SettingsReader.read(EntrySettings.class, yaml);
            settings.log().apply();
            return EntryDaemon.start(settings);
        }
        CompanionProcessSettings settings = SettingsReader.read(CompanionProcessSettings.class, yaml);
        settings.log().apply();
        return CompanionDaemon.start(settings);
    }

    private static void shutDownLog() {
        try {
            ProviderRegistry.getLoggingProvider().shutdown();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private int usage(CmdLineParser parser, String problem) {
        if (!problem.isEmpty()) {
            errors.println(problem);
        }
        errors.println("usage: geraniumreachd entry|companion --settings FILE");
        errors.println("       geraniumreachd check --settings FILE");
        errors.println("       geraniumreachd entry|companion --print-defaults");
        parser.printUsage(errors);
        return USAGE;
    }
}
