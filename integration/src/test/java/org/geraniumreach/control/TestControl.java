package org.geraniumreach.control;

import java.io.PrintStream;

/** Lets the failure tests run the operators' command line without a process of its own. */
public final class TestControl {

    private TestControl() {}

    /**
     * Runs the command line.
     *
     * @param print takes what it prints, not null
     * @param arguments the command line, not null
     * @return the exit code
     */
    public static int run(PrintStream print, String... arguments) {
        return Main.run(arguments, print, print);
    }
}
