package org.geraniumreach.daemon.entry;

import java.util.EnumSet;
import java.util.Set;

import org.geraniumreach.model.ExecutionStatus;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServingException;

/**
 * Classifies refusals: whether the target failed, whether a retry may succeed, and whether it may at the same target.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class RefusalClassifier {

    private static final Set<ResultCode> TARGET_FAILURES = EnumSet.of(
            ResultCode.LOAD_FAILED,
            ResultCode.TARGET_FAILED,
            ResultCode.WRONG_ADAPTER_SERVED,
            ResultCode.ANSWER_INTERRUPTED,
            ResultCode.INTERNAL_ERROR);

    private static final Set<ResultCode> NOT_RETRYABLE = EnumSet.of(
            ResultCode.KEY_REFUSED,
            ResultCode.ADAPTER_NOT_ASSIGNED,
            ResultCode.ADAPTER_UNKNOWN,
            ResultCode.MALFORMED_REQUEST,
            ResultCode.CANCELLED,
            ResultCode.DEADLINE_EXCEEDED);

    private RefusalClassifier() {}

    /**
     * Queries whether a refusal counts as a failure of its target.
     *
     * @param code the result code of the refusal, not null
     * @return true if it does; a draining or saturated companion does not count as failed
     */
    static boolean isTargetFailure(ResultCode code) {
        return TARGET_FAILURES.contains(code);
    }

    /**
     * Queries whether the request might succeed at another target.
     *
     * @param code the result code of the refusal, not null
     * @return true if it might
     */
    static boolean isRetryable(ResultCode code) {
        return !NOT_RETRYABLE.contains(code);
    }

    /**
     * Queries whether a request may go back to the target that refused it: its engine is silent, and may go on.
     *
     * @param refusal the refusal, not null
     * @return true if it may, after the refusal's delay
     */
    static boolean mayReturn(ServingException refusal) {
        return refusal.code() == ResultCode.TARGET_FAILED
                && refusal.executionStatus() == ExecutionStatus.NO
                && refusal.retryAfter().isPresent();
    }
}
