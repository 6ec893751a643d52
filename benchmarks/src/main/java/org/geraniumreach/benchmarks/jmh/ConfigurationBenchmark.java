package org.geraniumreach.benchmarks.jmh;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.geraniumreach.model.record.Configuration;
import org.geraniumreach.model.record.LogEntry;
import org.geraniumreach.model.record.RecordKey;
import org.geraniumreach.model.record.RecordKind;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures applying one change to a configuration; one thread. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class ConfigurationBenchmark {

    /** The fleet size, which gives the number of adapters in the configuration. */
    @Param
    FleetSize size;

    private Configuration configuration;
    private LogEntry change;

    /** Creates the configuration and the change. */
    @Setup
    public void setUp() {
        List<LogEntry> entries = adapterEntries(size.adapters());
        configuration = Configuration.ofSnapshot(entries.size(), entries);
        change = adapterEntry(entries.size() + 1, 0);
    }

    static List<LogEntry> adapterEntries(int adapters) {
        List<LogEntry> entries = new ArrayList<>();
        for (int number = 0; number < adapters; number++) {
            entries.add(adapterEntry(number + 1, number));
        }
        return entries;
    }

    private static LogEntry adapterEntry(long revision, int number) {
        String body = "{\"schemaVersion\":1,\"baseModel\":\"" + Fleets.MODEL + "\",\"versions\":[\"1\",\"2\"]}";
        RecordKey key = RecordKey.of(RecordKind.ADAPTER, "adapter-" + number);
        return new LogEntry(revision, "operation-" + revision, key, Optional.of(body));
    }

    /**
     * Applies one change.
     *
     * @return the changed configuration
     */
    @Benchmark
    public Configuration plusOneChange() {
        return configuration.plus(List.of(change));
    }
}
