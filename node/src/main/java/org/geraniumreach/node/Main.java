package org.geraniumreach.node;

import java.io.IOException;
import java.nio.file.Path;
import java.util.OptionalInt;
import java.util.concurrent.CountDownLatch;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.process.ProcessSettings;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.platform.DocumentException;
import org.geraniumreach.platform.SettingsFile;
import org.geraniumreach.process.Signals;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Command line of the entry process on the users' platform.
 *
 * <p>Exit codes: 0 after a drain or a successful check, 2 if the command line or the settings are invalid, 3 if an address cannot be
 * bound. Confined to the main thread.
 */
public final class Main {

    private static final int EXIT_INVALID_SETTINGS = 2;
    private static final int EXIT_ADDRESS_UNAVAILABLE = 3;
    private static final int MAX_PORT = 65_535;

    @Argument(
            index = 0,
            metaVar = "COMMAND",
            required = true,
            usage = "entry: serve callers; check: read the settings only; rehearse: start on loopback, for the build")
    private Command command;

    @Option(name = "--settings", metaVar = "FILE", usage = "the settings file; else the environment names it")
    private Path file;

    @Option(name = "--metrics-port", metaVar = "PORT", usage = "the port that serves metrics; without it none does")
    private Integer metricsPort;

    /** The commands, as given on the command line. */
    enum Command {
        ENTRY,
        CHECK,
        REHEARSE
    }

    private Main() {}

    /**
     * Runs the program.
     *
     * @param arguments the command line, not null
     */
    public static void main(String[] arguments) {
        // Without a handler the signal ends the process, and the entry installs its own only when it serves.
        Signals.onReload(() -> {});
        // Otherwise Netty searches for three logging libraries that are not on the class path, which delays each start.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        System.exit(new Main().run(arguments));
    }

    private int run(String[] arguments) {
        CmdLineParser parser = new CmdLineParser(this);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException invalid) {
            System.err.println(invalid.getMessage());
            parser.printUsage(System.err);
            return EXIT_INVALID_SETTINGS;
        }
        if (metricsPort != null && (metricsPort < 1 || metricsPort > MAX_PORT)) {
            System.err.println("--metrics-port: not a port: " + metricsPort);
            return EXIT_INVALID_SETTINGS;
        }
        JsonLog log = JsonLog.toStandardOutput();
        LibraryLogHandler.install(log);
        if (command == Command.REHEARSE) {
            return rehearse(log);
        }
        try {
            Path settingsFile = file == null ? SettingsFile.path() : file;
            ProcessSettings settings = SettingsFile.read(settingsFile);
            return command == Command.CHECK ? 0 : serve(settings, settingsFile, log);
        } catch (DocumentException invalid) {
            log.write(EventCode.SETTINGS_INVALID, "", Field.of("reason", invalid.getMessage()));
            log.close();
            return EXIT_INVALID_SETTINGS;
        }
    }

    private static int rehearse(JsonLog log) {
        try {
            new Rehearsal(log).run();
            return 0;
        } catch (IOException failed) {
            log.write(EventCode.UNEXPECTED_FAILURE, "", Field.of("reason", String.valueOf(failed.getMessage())));
            return EXIT_ADDRESS_UNAVAILABLE;
        } finally {
            log.close();
        }
    }

    private int serve(ProcessSettings settings, Path settingsFile, JsonLog log) {
        EntryProcess process = new EntryProcess(
                settings, metricsPort == null ? OptionalInt.empty() : OptionalInt.of(metricsPort), log);
        CountDownLatch endSignal = new CountDownLatch(1);
        Signals.onTerminate(endSignal::countDown);
        Signals.onReload(() -> reload(settingsFile, log));
        try {
            process.start();
        } catch (IOException unavailable) {
            log.write(EventCode.UNEXPECTED_FAILURE, "", Field.of("reason", String.valueOf(unavailable.getMessage())));
            log.close();
            return EXIT_ADDRESS_UNAVAILABLE;
        }
        try {
            endSignal.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        process.drain();
        return 0;
    }

    /** Only validates the file: the configuration comes from the store, and changes of the file take effect at a restart. */
    private static void reload(Path settingsFile, JsonLog log) {
        try {
            SettingsFile.read(settingsFile);
            log.write(EventCode.SETTINGS_READ, "");
        } catch (DocumentException invalid) {
            log.write(EventCode.SETTINGS_INVALID, "", Field.of("reason", invalid.getMessage()));
        }
    }
}
