package org.geraniumreach.standins.load;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.geraniumreach.standins.load.LoadSettings.AccountLoad;
import org.geraniumreach.standins.load.LoadSettings.AdapterRange;
import org.geraniumreach.standins.load.LoadSettings.EntryShare;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RequestSourceTest {

    private static final int REQUESTS = 2000;

    @Test
    void theSameSeedGivesTheSameRequests() {
        assertThat(requests(5)).isEqualTo(requests(5));
        assertThat(requests(5)).isNotEqualTo(requests(6));
    }

    @Test
    void requestsFollowTheConfiguredRateAndSkew() {
        List<PlannedRequest> requests = requests(1);
        double seconds = requests.get(REQUESTS - 1).dueNanos() / (double) TimeUnit.SECONDS.toNanos(1);
        assertThat(REQUESTS / seconds).isBetween(18.0, 22.0);
        assertThat(share(requests, "rewind-0")).isGreaterThan(share(requests, "rewind-1"));
        long first = requests.stream()
                .filter(request -> request.entry().getPort() == 1)
                .count();
        assertThat(first / (double) REQUESTS).isBetween(0.75, 0.85);
    }

    private static long share(List<PlannedRequest> requests, String adapter) {
        return requests.stream()
                .filter(request -> request.adapter().adapter().equals(adapter))
                .count();
    }

    private static List<PlannedRequest> requests(long seed) {
        AdapterRange adapters = new AdapterRange("rewind-", 0, 50, "v1", 1.0);
        AccountLoad account = new AccountLoad("floor", "", 20, 0, 0, 0.5, 0.5, 80, 10, adapters, 0, 0);
        LoadSettings settings = new LoadSettings(
                seed,
                1,
                0,
                1,
                null,
                List.of(new EntryShare(URI.create("http://h:1"), 4), new EntryShare(URI.create("http://h:2"), 1)),
                List.of(account),
                null,
                null,
                null);
        RequestSource source = new RequestSource(settings, account, false, "run");
        List<PlannedRequest> requests = new ArrayList<>();
        for (int number = 0; number < REQUESTS; number++) {
            requests.add(source.next(number));
        }
        return requests;
    }
}
