package org.geraniumreach.standins;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;

import org.geraniumreach.standins.http.Administration;
import org.geraniumreach.standins.http.StandIn;
import org.geraniumreach.standins.service.ServiceStandIn;
import org.kohsuke.args4j.Option;

/** Runs one or more stand-ins for plain services. */
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
        List<StandIn> standIns = new ArrayList<>();
        for (String port : ports.split(",")) {
            standIns.add(new ServiceStandIn(Integer.parseInt(port.trim()), latencyMillis, timer));
        }
        Administration.start(administrationPort, standIns, timer);
        return -1;
    }
}
