package org.geraniumreach.standins;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;

import org.geraniumreach.standins.http.Administration;
import org.geraniumreach.standins.http.StandIn;
import org.geraniumreach.standins.list.InstanceListStandIn;
import org.geraniumreach.standins.store.ObjectStoreStandIn;
import org.geraniumreach.standins.store.WeightStore;
import org.geraniumreach.standins.store.WeightStoreStandIn;
import org.geraniumreach.standins.table.TableStandIn;
import org.kohsuke.args4j.Option;

/** Runs table service, object store, weight store, instance list and their administration on consecutive ports. */
final class PlatformCommand implements Command {

    @Option(name = "--port", required = true, usage = "first port: table, objects, weights, list, administration")
    private int port;

    @Option(name = "--reads", usage = "reads a second of the table service, 0 for no limit")
    private double reads = 2000;

    @Option(name = "--writes", usage = "transactions a second of the table service, 0 for no limit")
    private double writes = 500;

    @Option(name = "--loads", usage = "transfers of adapters that begin in a second, 0 for no limit")
    private double loads = 4.5;

    @Option(name = "--load-millis", usage = "how long a transfer takes at full speed")
    private long loadMillis = 250;

    @Option(name = "--full-speed", usage = "transfers at once at full speed")
    private int fullSpeed = 8;

    @Option(name = "--list-lag-millis", usage = "how late the instance list is")
    private long listLagMillis = 1000;

    @Override
    public int run() throws IOException {
        ScheduledExecutorService timer = Timers.create();
        int nextPort = port;
        List<StandIn> standIns = List.of(
                new TableStandIn(nextPort++, reads, writes, timer),
                new ObjectStoreStandIn(nextPort++, timer),
                new WeightStoreStandIn(nextPort++, new WeightStore(loads, loadMillis, fullSpeed, timer), timer),
                new InstanceListStandIn(nextPort++, listLagMillis, timer));
        Administration.start(nextPort, standIns, timer);
        return -1;
    }
}
