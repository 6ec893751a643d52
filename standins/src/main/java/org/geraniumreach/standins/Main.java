package org.geraniumreach.standins;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** Runs the command line of the stand-ins and the load tool. Stateless. */
public final class Main {

    private static final int WRONG_USAGE = 2;
    private static final int FAILED = 3;
    private static final Map<String, Supplier<Command>> COMMANDS = new TreeMap<>(Map.of(
            "platform", PlatformCommand::new,
            "engine", EngineCommand::new,
            "service", ServiceCommand::new,
            "load", LoadCommand::new,
            "call", CallCommand::new,
            "report", ReportCommand::new));

    private static final Logger GRIZZLY_LOGGER = Logger.getLogger("org.glassfish.grizzly");

    private Main() {}

    /**
     * Runs a subcommand.
     *
     * @param arguments the name of the subcommand and its options, not null
     */
    public static void main(String[] arguments) {
        // Grizzly logs each listener at INFO, which duplicates the log line of the stand-in.
        GRIZZLY_LOGGER.setLevel(Level.WARNING);
        int exitCode = run(arguments);
        if (exitCode >= 0) {
            System.exit(exitCode);
        }
        sleepForEver();
    }

    private static void sleepForEver() {
        // The server threads are daemon threads, so the process would exit if the main thread returned.
        while (true) {
            LockSupport.park();
        }
    }

    private static int run(String[] arguments) {
        Supplier<Command> supplier = arguments.length == 0 ? null : COMMANDS.get(arguments[0]);
        if (supplier == null) {
            System.err.println("usage: one of " + COMMANDS.keySet() + ", then its options");
            return WRONG_USAGE;
        }
        Command command = supplier.get();
        CmdLineParser parser = new CmdLineParser(command);
        try {
            parser.parseArgument(Arrays.copyOfRange(arguments, 1, arguments.length));
        } catch (CmdLineException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            return WRONG_USAGE;
        }
        return run(command);
    }

    private static int run(Command command) {
        try {
            return command.run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return FAILED;
        } catch (Exception e) {
            System.err.println("failed: " + e);
            return FAILED;
        }
    }
}
