package org.geraniumreach.gateway.request;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.geraniumreach.gateway.port.SurplusAnswer;
import org.geraniumreach.model.EventCode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class SurplusAnswerLogTest {

    private final List<EventCode> events = new ArrayList<>();
    private final SurplusAnswerLog log = new SurplusAnswerLog((event, subject, fields) -> events.add(event));

    /** Guards against a request that ran although it counts as rejected, and of which its entry says nothing. */
    @ParameterizedTest
    @CsvSource({
        "false, true, REJECTED_REQUEST_RAN",
        "true, true, SURPLUS_ANSWER",
        "false, false, SURPLUS_ANSWER",
        "true, false, SURPLUS_ANSWER"
    })
    void onlyAnAnswerToARejectedRequestThatIsNoRejectionIsAnAlarm(
            boolean rejection, boolean countedAsRejected, EventCode event) {
        log.onSurplusAnswer(new SurplusAnswer(
                "r0",
                InetSocketAddress.createUnresolved("target", 1),
                1,
                rejection ? 503 : 200,
                rejection,
                Optional.of(Duration.ZERO),
                countedAsRejected));
        assertThat(events).containsExactly(event);
    }
}
