package org.geraniumreach.gateway.request;

import java.util.Objects;

import org.geraniumreach.gateway.pacing.TargetAdmission;
import org.geraniumreach.gateway.placement.Placement;
import org.geraniumreach.gateway.placement.TargetRegistry;
import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.TargetPort;
import org.geraniumreach.gateway.port.Timers;
import org.geraniumreach.gateway.quota.QuotaAdmission;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.serving.retry.TargetHealth;

/**
 * What exchanges share.
 *
 * @param placement chooses targets
 * @param registry the targets
 * @param targets calls targets
 * @param adapters has adapters loaded
 * @param quotas admits by account
 * @param admission decides when prompts may be sent to a target
 * @param retryBudgets grants second arrivals, by service
 * @param health leaves failing targets out
 * @param timers runs actions later
 * @param clock the steady clock
 * @param log takes decisions
 * @param outcomes is told of ends
 * @param settings times and limits
 */
public record ExchangeServices(
        Placement placement,
        TargetRegistry registry,
        TargetPort targets,
        AdapterLoader adapters,
        QuotaAdmission quotas,
        TargetAdmission admission,
        RepeatBudgets retryBudgets,
        TargetHealth health,
        Timers timers,
        MonotonicClock clock,
        DecisionLog log,
        OutcomeListener outcomes,
        ExchangeSettings settings) {

    public ExchangeServices {
        Objects.requireNonNull(placement, "placement");
        Objects.requireNonNull(settings, "settings");
    }
}
