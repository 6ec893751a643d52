package org.geraniumreach.node;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.geraniumreach.gateway.port.StorePort;
import org.geraniumreach.gateway.store.FeedUpdate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class FeedUpdatesTest {

    static Stream<FeedUpdate> updates() {
        return Stream.of(
                new FeedUpdate.Unreachable(StorePort.Table.OPERATOR, "status 503"),
                new FeedUpdate.Changes(
                        StorePort.Table.FLEET, 4, new StorePort.Page(List.of(), 4, false, 1_234_567_890_123L)),
                new FeedUpdate.Changes(
                        StorePort.Table.TARGETS,
                        4,
                        new StorePort.Page(
                                List.of(
                                        new StorePort.StoredRow("one", 5, Optional.of("{\"ä\":1}")),
                                        new StorePort.StoredRow("two", 6, Optional.empty()),
                                        new StorePort.StoredRow("three", 7, Optional.of(""))),
                                9,
                                false,
                                17)));
    }

    @ParameterizedTest
    @MethodSource("updates")
    void updateIsUnchangedByConversionToMessageAndBack(FeedUpdate update) {
        assertThat(FeedUpdates.fromMessage(FeedUpdates.toFrame(update).getFeedUpdate()))
                .contains(update);
    }

    /** Entries of two versions run side by side during an upgrade, so an older one may receive tables that it does not know. */
    @Test
    void updateOfUnknownTableIsIgnored() {
        assertThat(FeedUpdates.fromMessage(org.geraniumreach.messages.FeedUpdate.newBuilder()
                        .setTableValue(99)
                        .build()))
                .isEmpty();
    }
}
