package org.geraniumreach.daemon.companion;

import java.net.InetSocketAddress;
import java.time.Duration;

import org.geraniumreach.daemon.configuration.ConfigurationSettings;
import org.geraniumreach.daemon.event.LogSettings;
import org.geraniumreach.daemon.membership.MembershipSettings;
import org.geraniumreach.daemon.node.LinkTuning;
import org.geraniumreach.daemon.node.NodeRole;
import org.geraniumreach.daemon.node.NodeServices;
import org.geraniumreach.daemon.node.NodeSettings;
import org.geraniumreach.daemon.node.PlatformSettings;
import org.geraniumreach.daemon.settings.Setting;

/**
 * The settings of a companion's process.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param role always {@link NodeRole#COMPANION}
 * @param node the identity and the location of the instance
 * @param log the logging
 * @param platform the addresses of the platform's services
 * @param target the target that the companion serves
 * @param companion the handling of requests
 * @param links the links
 * @param membership the membership
 * @param configuration the configuration
 */
public record CompanionProcessSettings(
        @Setting(about = "What runs with these settings; here companion.") NodeRole role,
        NodeSettings node,
        LogSettings log,
        PlatformSettings platform,
        TargetSettings target,
        CompanionSettings companion,
        LinkTuning links,
        MembershipSettings membership,
        ConfigurationSettings configuration) {

    public CompanionProcessSettings {
        if (role != NodeRole.COMPANION) {
            throw new IllegalArgumentException("role must be companion");
        }
    }

    NodeServices.Settings toFoundationSettings() {
        return new NodeServices.Settings(role, node, platform, links, membership, configuration);
    }

    /**
     * The target that a companion serves.
     *
     * @param name the name of the target's record
     * @param kind the kind of target
     * @param address the address of the target
     * @param callLimit the time limit of an order, except a load
     * @param loadLimit the time limit of a load
     * @param silence how long a running stream may stay silent before it counts as broken
     * @param serviceLimit the time limit of a call to a plain service
     */
    public record TargetSettings(
            @Setting(about = "The name of the target's record.") String name,
            @Setting(about = "What the target is.") Kind kind,
            @Setting(about = "Where the target is.") InetSocketAddress address,
            @Setting(
                            value = "2s",
                            least = "10ms",
                            greatest = "1m",
                            about = "How long an order may take to be answered.")
                    Duration callLimit,
            @Setting(value = "60s", least = "100ms", greatest = "10m", about = "How long a load may take.")
                    Duration loadLimit,
            @Setting(
                            value = "15s",
                            least = "100ms",
                            greatest = "10m",
                            about = "How long a running stream may bring nothing.")
                    Duration silence,
            @Setting(
                            value = "30s",
                            least = "100ms",
                            greatest = "10m",
                            about = "How long a plain service's call may take.")
                    Duration serviceLimit) {

        /** The kinds of target. */
        public enum Kind {
            ENGINE,
            SERVICE
        }
    }
}
