package org.geraniumreach.control;

import java.io.PrintStream;
import java.io.PrintWriter;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionHandlerFilter;
import org.kohsuke.args4j.ParserProperties;

/**
 * Main class of {@code geraniumreachctl}.
 *
 * <p>Stateless and thread-safe.
 */
public final class Main {

    private static final int USAGE_WIDTH_COLUMNS = 110;
    private static final String COMMAND_HELP =
            """
            geraniumreachctl COMMAND [OPTIONS]
              submit FILE...         submits the records of the files, in their order
              withdraw KIND NAME     withdraws a record
              list KIND              lists the records of a kind
              show KIND NAME         shows a record
              history [KIND NAME]    shows the changes, of one record or of all
              status                 shows the state of an entry
              validate FILE...       checks records; with --entry against the records there
              key new NAME           makes a key for --account and prints its secret and its record""";

    private Main() {}

    /**
     * Runs a command and exits the process with its exit code.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(run(arguments, System.out, System.err));
    }

    /**
     * Runs a command.
     *
     * @param arguments the command line, not null
     * @param out the stream for results, not null
     * @param error the stream for errors, not null
     * @return the exit code
     */
    static int run(String[] arguments, PrintStream out, PrintStream error) {
        Options options = new Options();
        CmdLineParser parser =
                new CmdLineParser(options, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH_COLUMNS));
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException invalid) {
            error.println(invalid.getMessage());
            printUsage(parser, error);
            return ExitCode.USAGE.number();
        }
        if (options.isHelpRequested()) {
            printUsage(parser, out);
            return ExitCode.OK.number();
        }
        Printer printer = new Printer(out, error, options.output());
        Commands commands = new Commands(options, printer);
        try {
            commands.run();
            return ExitCode.OK.number();
        } catch (ControlException failure) {
            printer.printFailure(failure, commands.recoveryHints());
            return failure.exitCode().number();
        }
    }

    private static void printUsage(CmdLineParser parser, PrintStream out) {
        out.println(COMMAND_HELP);
        parser.printUsage(new PrintWriter(out, true), null, OptionHandlerFilter.PUBLIC);
    }
}
