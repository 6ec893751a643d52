package org.geraniumreach.node;

import java.time.Duration;
import java.util.Optional;

import org.geraniumreach.gateway.priority.RequestPriority;
import org.geraniumreach.messages.AdapterLoadRequest;
import org.geraniumreach.model.AccountId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LoadDemandTest {

    private static final LoadDemand URGENT = new LoadDemand(
            Optional.of(Duration.ofMillis(300)),
            Optional.of(new RequestPriority(0, Optional.of(AccountId.of("acme")), 7)),
            true);

    @Test
    void aDemandIsReadAsItWasSent() {
        assertThat(LoadDemand.fromMessage(URGENT.toMessage("a7"), true)).isEqualTo(URGENT);
    }

    /** Guards against taking the loads of entries that order nothing for the most urgent ones. */
    @Test
    void aMessageOfAnEntryThatOrdersNothingHasNoPriority() {
        AdapterLoadRequest message = AdapterLoadRequest.newBuilder()
                .setAdapter("a7")
                .setWaitedFor(true)
                .build();
        assertThat(LoadDemand.fromMessage(message, true).priority()).isEmpty();
        assertThat(LoadDemand.fromMessage(URGENT.toMessage("a7"), false).priority())
                .isEmpty();
    }

    /** Guards against messages that close the link, since an account's name or an urgency in them is malformed. */
    @Test
    void aMalformedPriorityIsReadAsFarAsPossible() {
        AdapterLoadRequest message = AdapterLoadRequest.newBuilder()
                .setAdapter("a7")
                .setUrgency(77)
                .setAccount("no name")
                .setAccountWeight(Double.NaN)
                .build();
        RequestPriority priority =
                LoadDemand.fromMessage(message, true).priority().orElseThrow();
        assertThat(priority.urgency()).isEqualTo(RequestPriority.LEAST_URGENT);
        assertThat(priority.account()).isEmpty();
    }

    /** Guards against an urgent request that waits until its entry may ask for the same adapter again. */
    @Test
    void aDemandIsMoreUrgentThanOneWithoutPriority() {
        LoadDemand other = new LoadDemand(Optional.empty(), Optional.empty(), false);
        assertThat(URGENT.isMoreUrgentThan(other)).isTrue();
        assertThat(other.isMoreUrgentThan(URGENT)).isFalse();
        assertThat(other.isMoreUrgentThan(other)).isFalse();
    }
}
