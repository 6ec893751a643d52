package org.geraniumreach.standins;

import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;

import org.geraniumreach.standins.engine.EngineSettings;
import org.geraniumreach.standins.engine.EngineStandIn;
import org.geraniumreach.standins.http.Administration;
import org.geraniumreach.standins.http.StandIn;
import org.kohsuke.args4j.Option;

/** Runs one or more stand-in engines. */
final class EngineCommand implements Command {

    @Option(name = "--ports", required = true, usage = "the engines' ports, with commas")
    private String ports;

    @Option(name = "--admin-port", required = true, usage = "the port of their administration")
    private int administrationPort;

    @Option(name = "--weights", required = true, usage = "URL of the weight store")
    private URI weights;

    @Option(name = "--slots", usage = "adapters held at once")
    private int slots = 8;

    @Option(name = "--batch", usage = "streams in a batch")
    private int batch = 64;

    @Option(name = "--step-micros", usage = "time of a step")
    private double stepMicros = 8000;

    @Option(name = "--stream-micros", usage = "what each stream adds to a step")
    private double streamMicros = 50;

    @Option(name = "--adapter-micros", usage = "what each distinct adapter adds to a step")
    private double adapterMicros = 300;

    @Option(name = "--prefill-micros", usage = "what each prompt token costs")
    private double prefillMicros = 30;

    @Option(name = "--cached-prefill-micros", usage = "what each cached prompt token costs")
    private double cachedPrefillMicros = 2;

    @Option(name = "--prefix-cache-tokens", usage = "prompt tokens that the prefix cache holds")
    private int prefixCacheTokens = 65_536;

    @Option(name = "--ignore-fence", usage = "carry out orders with an old fence")
    private boolean ignoreFence;

    @Option(name = "--keep-finished-millis", usage = "how long a finished stream can be asked for")
    private long keepFinishedMillis = 30_000;

    @Option(name = "--load-lag-millis", usage = "how old the reported load is")
    private long loadLagMillis = 200;

    @Option(name = "--event-lag-millis", usage = "how late cache events are")
    private long eventLagMillis = 500;

    @Option(name = "--event-loss-percent", usage = "how many cache events in a hundred are lost")
    private int eventLossPercent = 5;

    @Override
    public int run() throws IOException {
        ScheduledExecutorService timer = Timers.create();
        List<StandIn> standIns = new ArrayList<>();
        for (String port : ports.split(",")) {
            standIns.add(new EngineStandIn(Integer.parseInt(port.trim()), settings(), weights, timer));
        }
        Administration.start(administrationPort, standIns, timer);
        return -1;
    }

    private EngineSettings settings() {
        return new EngineSettings(
                slots,
                batch,
                stepMicros,
                streamMicros,
                adapterMicros,
                prefillMicros,
                cachedPrefillMicros,
                prefixCacheTokens,
                !ignoreFence,
                keepFinishedMillis,
                loadLagMillis,
                eventLagMillis,
                eventLossPercent);
    }
}
