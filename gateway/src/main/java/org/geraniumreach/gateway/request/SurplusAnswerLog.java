package org.geraniumreach.gateway.request;

import java.time.Duration;
import java.util.Objects;

import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.gateway.port.SurplusAnswer;
import org.geraniumreach.gateway.port.SurplusAnswerListener;
import org.geraniumreach.model.EventCode;

/**
 * Logs surplus answers, and raises an alarm at those that prove the run of a request that counts as not executed.
 *
 * <p>Intended to find requests that ran twice at the entry that wrote them. Immutable; confined to the event loop.
 */
public final class SurplusAnswerLog implements SurplusAnswerListener {

    private final DecisionLog log;

    /**
     * Creates an instance.
     *
     * @param log receives the lines, not null
     */
    public SurplusAnswerLog(DecisionLog log) {
        this.log = Objects.requireNonNull(log, "log");
    }

    @Override
    public void onSurplusAnswer(SurplusAnswer answer) {
        EventCode event =
                answer.provesRunOfRejectedRequest() ? EventCode.REJECTED_REQUEST_RAN : EventCode.SURPLUS_ANSWER;
        log.writeRetained(
                event,
                answer.requestId(),
                Field.of("address", answer.address().toString()),
                Field.of("connection", answer.connection()),
                Field.of("status", answer.status()),
                Field.of("rejection", answer.rejection()),
                Field.of("ageMillis", answer.age().map(Duration::toMillis).orElse(-1L)),
                Field.of("countedAsRejected", answer.countedAsRejected()));
    }
}
