package org.geraniumreach.daemon.entry;

import java.net.InetSocketAddress;

import org.geraniumreach.daemon.budget.BudgetSettings;
import org.geraniumreach.daemon.configuration.ConfigurationSettings;
import org.geraniumreach.daemon.event.LogSettings;
import org.geraniumreach.daemon.http.HttpLimits;
import org.geraniumreach.daemon.ledger.LedgerSettings;
import org.geraniumreach.daemon.membership.MembershipSettings;
import org.geraniumreach.daemon.node.Foundation;
import org.geraniumreach.daemon.node.LinkTuning;
import org.geraniumreach.daemon.node.NodeRole;
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
 * @param node who and where it is
 * @param log how it logs
 * @param platform where the platform's services are
 * @param callers the callers' address
 * @param http what the callers' address takes
 * @param operator the operators' port
 * @param requests what a request may ask for
 * @param routing how targets are chosen
 * @param budget the client accounts' budgets
 * @param ledger the requests that may run once only
 * @param links its links
 * @param membership its membership
 * @param configuration its configuration
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

    Foundation.Settings nodeServices() {
        return new Foundation.Settings(role, node, platform, links, membership, configuration);
    }
}
