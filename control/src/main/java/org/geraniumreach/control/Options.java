package org.geraniumreach.control;

import java.util.ArrayList;
import java.util.List;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * Parsed command-line options and arguments.
 *
 * <p>Filled by the parser and not changed afterwards; not thread-safe until then.
 */
final class Options {

    /** The output format of results. */
    enum Output {
        TEXT,
        JSON
    }

    @Option(
            name = "--entry",
            metaVar = "HOST:PORT",
            usage = "an entry's operators' port; several are tried in order (default 127.0.0.1:8081)")
    private List<String> entries = new ArrayList<>();

    @Option(name = "--credential-file", metaVar = "FILE", usage = "the file that holds the operator credential")
    private String credentialFile;

    @Option(name = "--output", usage = "how results are printed (default text)")
    private Output output = Output.TEXT;

    @Option(
            name = "--operation",
            metaVar = "ID",
            usage = "the operation id; give that of an earlier try to find out what became of it, or to go on")
    private String operation;

    @Option(
            name = "--based-on",
            metaVar = "REVISION",
            usage =
                    "the revision at which the record was seen; a later change of it is a conflict (default: the newest)")
    private Long basedOn;

    @Option(name = "--account", metaVar = "NAME", usage = "the client account of a new key")
    private String account;

    @Option(name = "--help", help = true, usage = "prints this")
    private boolean helpRequested;

    @Argument(metaVar = "COMMAND", usage = "see above")
    private List<String> arguments = new ArrayList<>();

    List<String> entries() {
        return entries.isEmpty() ? List.of("127.0.0.1:8081") : entries;
    }

    boolean hasEntries() {
        return !entries.isEmpty();
    }

    String credentialFile() {
        return credentialFile;
    }

    Output output() {
        return output;
    }

    String operation() {
        return operation;
    }

    Long basedOn() {
        return basedOn;
    }

    String account() {
        return account;
    }

    boolean isHelpRequested() {
        return helpRequested;
    }

    List<String> arguments() {
        return arguments;
    }
}
