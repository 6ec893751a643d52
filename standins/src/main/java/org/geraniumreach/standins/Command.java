package org.geraniumreach.standins;

/** A subcommand of the command line. Used by one thread. */
interface Command {

    /**
     * Runs the command.
     *
     * @return the exit code, or a negative number to keep the process running until it is terminated
     * @throws Exception if it fails
     */
    int run() throws Exception;
}
