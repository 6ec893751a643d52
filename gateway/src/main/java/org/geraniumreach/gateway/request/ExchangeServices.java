package org.geraniumreach.gateway.request;

import java.util.Objects;

import org.geraniumreach.gateway.crash.CrashGuard;
import org.geraniumreach.gateway.limit.RequestLimiter;
import org.geraniumreach.gateway.pacing.TargetAdmission;
import org.geraniumreach.gateway.placement.Placement;
import org.geraniumreach.gateway.placement.TargetRegistry;
import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.TargetPort;
import org.geraniumreach.gateway.port.Timers;
import org.geraniumreach.gateway.quota.QuotaAdmission;
import org.geraniumreach.gateway.retry.RetryBudgets;
import org.geraniumreach.gateway.silence.SilentTargets;
import org.geraniumreach.gateway.speed.PaceObserver;
import org.geraniumreach.gateway.store.RowFreshness;
import org.geraniumreach.gateway.store.RowReadings;
import org.geraniumreach.gateway.stream.ResumableStreams;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.serving.retry.TargetHealth;

/**
 * The collaborators shared by all exchanges.
 *
 * @param placement selects targets for requests
 * @param registry the known targets
 * @param rowReadings tells as of when the rows of the store are known
 * @param rows decides whether what is known of the store's rows may be acted on
 * @param targets sends requests to targets
 * @param adapters orders adapter loads
 * @param quotas admits requests under the rates of client accounts
 * @param admission decides when prompts may be sent to a target
 * @param limiter decides whether requests may be sent to targets that limit them
 * @param crashes decides whether requests under which targets have ended may be sent
 * @param paces receives the paces of streams
 * @param streams the origins of the streams that callers may take up again
 * @param retryBudgets limits repeated sends, by service
 * @param health ejects failing targets
 * @param silences the targets that send nothing
 * @param timers schedules actions
 * @param clock the monotonic clock
 * @param log the decision log
 * @param outcomes receives the outcome of each exchange
 * @param answerMemory limits what is held of targets' answers
 * @param settings the timeouts and limits
 */
public record ExchangeServices(
        Placement placement,
        TargetRegistry registry,
        RowReadings rowReadings,
        RowFreshness rows,
        TargetPort targets,
        AdapterLoader adapters,
        QuotaAdmission quotas,
        TargetAdmission admission,
        RequestLimiter limiter,
        CrashGuard crashes,
        PaceObserver paces,
        ResumableStreams streams,
        RetryBudgets retryBudgets,
        TargetHealth health,
        SilentTargets silences,
        Timers timers,
        MonotonicClock clock,
        DecisionLog log,
        OutcomeListener outcomes,
        AnswerMemory answerMemory,
        ExchangeSettings settings) {

    public ExchangeServices {
        Objects.requireNonNull(placement, "placement");
        Objects.requireNonNull(streams, "streams");
        Objects.requireNonNull(answerMemory, "answerMemory");
        Objects.requireNonNull(settings, "settings");
    }
}
