package org.geraniumreach.standins;

/** A subcommand of the stand-ins' command line; used by one thread. */
interface Command {

    /**
     * Runs the command.
     *
     * @return the exit code, or a negative number to go on until the process is ended
     * @throws Exception if it fails
     */
    int run() throws Exception;
}
