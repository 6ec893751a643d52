package org.geraniumreach.daemon.entry;

import java.time.Duration;

import org.geraniumreach.model.ExecutionStatus;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServingException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class RefusalClassifierTest {

    /** Guards against a second run, and against requests kept at a target that has ended or is overloaded. */
    @ParameterizedTest
    @CsvSource({
        "TARGET_FAILED, NO, 200, true",
        "TARGET_FAILED, NO, 0, false",
        "TARGET_FAILED, UNKNOWN, 200, false",
        "OVERLOADED, NO, 200, false",
        "ANSWER_INTERRUPTED, NO, 200, false"
    })
    void onlyARequestThatASilentTargetHasNotRunMayReturn(
            ResultCode code, ExecutionStatus status, long retryAfterMillis, boolean expected) {
        ServingException refusal = ServingException.of(code, status, "refused");
        ServingException withDelay =
                retryAfterMillis > 0 ? refusal.withRetryAfter(Duration.ofMillis(retryAfterMillis)) : refusal;
        assertThat(RefusalClassifier.mayReturn(withDelay)).isEqualTo(expected);
    }
}
