package org.geraniumreach.daemon.entry;

import java.net.InetSocketAddress;

import org.geraniumreach.daemon.budget.BudgetSettings;
import org.geraniumreach.daemon.configuration.ConfigurationSettings;
import org.geraniumreach.daemon.event.LogSettings;
import org.geraniumreach.daemon.http.HttpLimits;
import org.geraniumreach.daemon.ledger.LedgerSettings;
import org.geraniumreach.daemon.membership.MembershipSettings;
import org.geraniumreach.daemon.node.LinkTuning;
import org.geraniumreach.daemon.node.NodeRole;
import org.geraniumreach.daemon.node.NodeServices;
import org.geraniumreach.daemon.node.NodeSettings;
import org.geraniumreach.daemon.node.PlatformSettings;
import org.geraniumreach.daemon.operator.OperatorSettings;
import org.geraniumreach.daemon.settings.Setting;

/**
 * The settings of an entry.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param role always {@link NodeRole#ENTRY}
 * @param node the identity and addresses of the instance
 * @param log the log's format and level
 * @param platform the addresses of the platform's services
 * @param callers the callers' address
 * @param http the HTTP limits for callers
 * @param operator the operators' port
 * @param requests the limits of one request
 * @param routing the choice of targets and the retries
 * @param budget the client accounts' budgets
 * @param ledger the ledger of requests that must run at most once
 * @param links the links to other instances
 * @param membership the membership
 * @param configuration the replicated configuration
 */
public record EntrySettings(
        @Setting(about = "What runs with these settings; here entry.") NodeRole role,
        NodeSettings node,
        LogSettings log,
        PlatformSettings platform,
        @Setting(about = "Where callers reach this entry.") InetSocketAddress callers,
        HttpLimits http,
        OperatorSettings operator,
        GenerationLimits requests,
        RoutingSettings routing,
        BudgetSettings budget,
        LedgerSettings ledger,
        LinkTuning links,
        MembershipSettings membership,
        ConfigurationSettings configuration) {

    public EntrySettings {
        if (role != NodeRole.ENTRY) {
            throw new IllegalArgumentException("role must be entry");
        }
    }

    NodeServices.Settings nodeServices() {
        return new NodeServices.Settings(role, node, platform, links, membership, configuration);
    }
}
