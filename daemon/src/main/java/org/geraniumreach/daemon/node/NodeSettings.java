package org.geraniumreach.daemon.node;

import java.net.InetSocketAddress;
import java.time.Duration;

import org.geraniumreach.daemon.settings.Setting;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.InstanceId;

/**
 * The identity and addresses of a process.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param instance the name on the instance list
 * @param failureDomain the failure domain of the instance
 * @param link the address for links from other processes of the system
 * @param management the address of health, readiness and metrics
 * @param drainLimit how long running requests may take after the process is told to end
 */
public record NodeSettings(
        @Setting(about = "The name of this instance on the platform's list.") String instance,
        @Setting(about = "The failure domain of this instance.") String failureDomain,
        @Setting(about = "Where other processes of the system reach this one.") InetSocketAddress link,
        @Setting(about = "Where health, readiness and metrics are read.") InetSocketAddress management,
        @Setting(
                        value = "60s",
                        least = "0s",
                        greatest = "1h",
                        about = "How long running work may take after the process is told to end.")
                Duration drainLimit) {

    public NodeSettings {
        InstanceId.of(instance);
        FailureDomain.of(failureDomain);
    }
}
