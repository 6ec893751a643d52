package org.geraniumreach.standins;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;

import org.geraniumreach.standins.http.Administration;
import org.geraniumreach.standins.http.StandIn;
import org.geraniumreach.standins.service.ServiceStandIn;
import org.kohsuke.args4j.Option;

/** Serves one or several plain services. */
final class ServiceCommand implements Command {

    @Option(name = "--ports", required = true, usage = "the services' ports, with commas")
    private String ports;

    @Option(name = "--admin-port", required = true, usage = "the port of their administration")
    private int administrationPort;

    @Option(name = "--latency-millis", usage = "how long an operation takes")
    private long latencyMillis = 5;

    @Override
    public int run() throws IOException {
        ScheduledExecutorService timer = Timers.create();
        List<StandIn> parts = new ArrayList<>();
        for (String port : ports.split(",")) {
            parts.add(new ServiceStandIn(Integer.parseInt(port.trim()), latencyMillis, timer));
        }
        Administration.start(administrationPort, parts, timer);
        return -1;
    }
}
