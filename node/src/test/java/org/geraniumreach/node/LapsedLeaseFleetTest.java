package org.geraniumreach.node;

import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Loads adapters after the leases of all entries have lapsed. */
class LapsedLeaseFleetTest {

    private static final String PATH = "/chat/x";
    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(5);

    /** Longer than a lease and than the retry of its renewal. */
    private static final long OUTAGE_MILLIS = 10_500;

    /** The renewal's retry and the reading of the owners take less than a second; the load takes a quarter. */
    private static final long RECOVERY_MILLIS = 3_000;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final FakePlatform platform;

    LapsedLeaseFleetTest() throws Exception {
        platform = new FakePlatform();
    }

    @AfterEach
    void close() {
        platform.close();
    }

    private int call(FakeFleet fleet, int entry, String id, String model) throws Exception {
        HttpResponse<String> answer = client.send(
                CallerRequests.post(fleet.address(entry), PATH, id, CALLER_TIMEOUT, "hi", model)
                        .build(),
                HttpResponse.BodyHandlers.ofString());
        return answer.statusCode();
    }

    /** Guards against entries that have read who owns what, and order nothing after the store's return all the same. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3})
    void adaptersAreLoadedSoonAfterTheStoreReturns(int entryCount) throws Exception {
        platform.addTarget("one", "engines");
        FakeFleet fleet = new FakeFleet(platform, entryCount);
        fleet.awaitReady(PATH);
        assertThat(call(fleet, 0, "before", "base/a2")).isEqualTo(200);
        platform.setStoreAvailable(false);
        TimeUnit.MILLISECONDS.sleep(OUTAGE_MILLIS);
        platform.setStoreAvailable(true);
        TimeUnit.MILLISECONDS.sleep(RECOVERY_MILLIS);
        for (int entry = 0; entry < entryCount; entry++) {
            assertThat(call(fleet, entry, "after-" + entry, "base/a" + (10 + entry)))
                    .isEqualTo(200);
        }
    }
}
