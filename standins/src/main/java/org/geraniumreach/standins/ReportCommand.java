package org.geraniumreach.standins;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.geraniumreach.standins.report.ReportFiles;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Compares the results of load tool runs by configuration. */
final class ReportCommand implements Command {

    @Option(name = "--out", required = true, usage = "directory for report.json and the plots")
    private Path out;

    @Argument(required = true, metaVar = "FILE", usage = "results named CONFIGURATION-ROUND.json")
    private List<Path> results = new ArrayList<>();

    @Override
    public int run() throws IOException {
        System.setProperty("java.awt.headless", "true");
        ReportFiles.write(results, out).forEach(System.out::println);
        return 0;
    }
}
