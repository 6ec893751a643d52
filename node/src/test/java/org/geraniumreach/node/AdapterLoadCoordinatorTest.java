package org.geraniumreach.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;

import org.geraniumreach.gateway.adapter.Lease;
import org.geraniumreach.gateway.adapter.TargetOwnership;
import org.geraniumreach.gateway.placement.TargetRegistry;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.testing.UnsupportedTargetPort;
import org.geraniumreach.gateway.traffic.AdapterName;
import org.geraniumreach.model.MonotonicClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class AdapterLoadCoordinatorTest {

    private static final AdapterName ADAPTER = new AdapterName("base", "a7");
    private static final long START_NANOS = 1_000_000_000_000L;

    private final AtomicLong now = new AtomicLong(START_NANOS);
    private final MonotonicClock clock = now::get;
    private final AdapterLoadCoordinator coordinator = new AdapterLoadCoordinator(
            new AdapterLoadCoordinator.TargetAccess(
                    new TargetRegistry(clock),
                    new TargetOwnership("one", 1, new Lease(clock, () -> now.get() / 1_000_000), clock),
                    target -> true,
                    target -> false,
                    new UnsupportedTargetPort()),
            (delay, action) -> Cancellable.NOOP,
            clock,
            (event, id, fields) -> {},
            Optional::empty);

    // Guards against answers from an adapter version that was replaced long ago: a restarted entry cannot tell since
    // when the version that it reads first has been in force, so the previous version must not run.
    @Test
    void versionFoundByFirstReadIsRequiredAtOnce() {
        coordinator.versions().update(ADAPTER, 2, OptionalLong.empty());
        assertThat(coordinator.minimumVersion(ADAPTER)).isEqualTo(2);
    }

    // Callers need not wait for a load while the previous version may still run. The grace period starts at the last
    // read without the new version, since the operator may have put it in force right after that read.
    @ParameterizedTest
    @CsvSource({"0, 0", "2400, 0", "2600, 2"})
    void previousVersionMayRunForGracePeriodAfterLastReadWithoutNewVersion(long millis, long required) {
        coordinator.versions().update(ADAPTER, 2, OptionalLong.of(START_NANOS));
        now.addAndGet(Duration.ofMillis(millis).toNanos());
        assertThat(coordinator.minimumVersion(ADAPTER)).isEqualTo(required);
    }

    /** Guards against time that an older version gains because this entry has read of the newer one late, or never before. */
    @Test
    void olderVersionsEndAfterLastReadWithoutNewestVersion() {
        List<AdapterName> named = new ArrayList<>();
        coordinator.onVersionNamed(named::add);
        assertThat(coordinator.olderVersionsEndAt(ADAPTER)).isEmpty();
        now.addAndGet(Duration.ofSeconds(2).toNanos());
        coordinator.versions().update(ADAPTER, 2, OptionalLong.of(START_NANOS));
        assertThat(coordinator.olderVersionsEndAt(ADAPTER))
                .hasValue(START_NANOS + Duration.ofSeconds(5).toNanos());
        coordinator.versions().update(ADAPTER, 2, OptionalLong.of(now.get()));
        assertThat(coordinator.olderVersionsEndAt(ADAPTER))
                .hasValue(START_NANOS + Duration.ofSeconds(5).toNanos());
        coordinator.versions().update(ADAPTER, 3, OptionalLong.empty());
        assertThat(coordinator.olderVersionsEndAt(ADAPTER)).hasValue(now.get());
        assertThat(named).containsExactly(ADAPTER, ADAPTER);
    }

    @Test
    void olderVersionReadLaterIsIgnored() {
        coordinator.versions().update(ADAPTER, 3, OptionalLong.empty());
        coordinator.versions().update(ADAPTER, 2, OptionalLong.empty());
        assertThat(coordinator.namedVersion(ADAPTER)).isEqualTo(3);
    }
}
