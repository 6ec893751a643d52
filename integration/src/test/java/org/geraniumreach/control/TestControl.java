package org.geraniumreach.control;

import java.io.PrintStream;

/** Runs the operator command line in the process of the failure tests. */
public final class TestControl {

    private TestControl() {}

    /**
     * Runs the command line.
     *
     * @param print receives results and errors, not null
     * @param arguments the command line, not null
     * @return the exit code
     */
    public static int run(PrintStream print, String... arguments) {
        return Main.run(arguments, print, print);
    }
}
