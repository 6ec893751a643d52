package org.geraniumreach.standins;

import java.io.IOException;
import java.nio.file.Path;

import org.geraniumreach.standins.load.LoadFiles;
import org.geraniumreach.standins.load.LoadResult;
import org.geraniumreach.standins.load.LoadRun;
import org.geraniumreach.standins.load.LoadSettings;
import org.kohsuke.args4j.Option;

/** Runs the load tool and prints the results by account. */
final class LoadCommand implements Command {

    private static final int CHECKS_FAILED = 1;

    @Option(name = "--settings", required = true, usage = "YAML file with what to send")
    private Path settings;

    @Option(name = "--out", usage = "JSON file to write settings and results to")
    private Path out;

    @Override
    public int run() throws IOException, InterruptedException {
        LoadSettings loadSettings = LoadFiles.read(settings);
        LoadResult result = LoadRun.run(loadSettings);
        result.toTable().forEach(System.out::println);
        if (out != null) {
            LoadFiles.write(out, loadSettings, result);
        }
        return result.held() ? 0 : CHECKS_FAILED;
    }
}
