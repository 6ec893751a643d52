package org.geraniumreach.node;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import org.geraniumreach.gateway.adapter.Lease;
import org.geraniumreach.gateway.adapter.Order;
import org.geraniumreach.gateway.adapter.OrderResult;
import org.geraniumreach.gateway.adapter.TargetOwnership;
import org.geraniumreach.gateway.adapter.TargetReport;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.placement.TargetDescription;
import org.geraniumreach.gateway.placement.TargetRegistry;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.testing.UnsupportedTargetPort;
import org.geraniumreach.gateway.traffic.CallerLimits;
import org.geraniumreach.gateway.traffic.ServiceDefinition;
import org.geraniumreach.gateway.traffic.TrafficConfiguration;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.SoftwareVersion;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.Transaction;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EvacuatedTargetCallsTest {

    private static final TargetId ID = TargetId.of("t1");
    private static final long START_NANOS = 1_000_000_000_000L;

    private final AtomicLong now = new AtomicLong(START_NANOS);
    private final MonotonicClock clock = now::get;
    private final List<Runnable> scheduled = new ArrayList<>();
    private final TargetRegistry registry = new TargetRegistry(clock);
    private final Lease lease = new Lease(clock, () -> now.get() / 1_000_000);
    private final TargetOwnership ownership = new TargetOwnership("one", 1, lease, clock);
    private final CallCounter calls = new CallCounter();
    private boolean evacuated;

    private final AdapterLoadCoordinator coordinator = new AdapterLoadCoordinator(
            new AdapterLoadCoordinator.TargetAccess(registry, ownership, target -> !evacuated, target -> false, calls),
            (delay, action) -> {
                scheduled.add(action);
                return () -> scheduled.remove(action);
            },
            clock,
            (event, id, fields) -> {},
            () -> Optional.of(configuration()));

    private static TrafficConfiguration configuration() {
        return TrafficConfiguration.of(
                1,
                new CallerLimits(16_384, 1_000_000, Duration.ofSeconds(3), Duration.ofSeconds(15)),
                List.of(),
                Map.of(),
                List.of(),
                List.of(new ServiceDefinition(
                        "service",
                        100,
                        ServiceDefinition.ColdStart.NONE,
                        Optional.of(new ServiceDefinition.Engine(4, 64, List.of("base"))))));
    }

    /** Counts orders and report requests, and never answers them. */
    private static final class CallCounter extends UnsupportedTargetPort {
        private int count;

        @Override
        public Cancellable sendOrder(Target target, Order order, String holder, Consumer<OrderResult> result) {
            count++;
            return Cancellable.NOOP;
        }

        @Override
        public Cancellable fetchReport(Target target, Consumer<Optional<TargetReport>> result) {
            count++;
            return Cancellable.NOOP;
        }
    }

    private void joinOwnedTarget() {
        lease.onRenewed(lease.startRenewal(), 0);
        registry.addListener(coordinator);
        Transaction claim =
                ownership.claim(List.of(ID), List.of("one"), entry -> true).orElseThrow();
        Transaction.Write write = claim.writes().get(0);
        ownership.updateHolder(
                write.key().key(),
                Optional.of(new Row(write.key(), 5, write.value().orElseThrow())));
        registry.put(new TargetDescription(
                ID,
                1,
                "service",
                SoftwareVersion.of("v1"),
                new InetSocketAddress("127.0.0.1", 9),
                FailureDomain.of("here"),
                64,
                false,
                Optional.of(Duration.ZERO),
                Map.of("base", Map.of())));
    }

    /** Guards against orders and report requests that are sent to targets of an evacuated failure domain. */
    @Test
    void nothingIsSentToTargetUntilItMayBeCalledAgain() {
        evacuated = true;
        joinOwnedTarget();
        assertThat(calls.count).isZero();
        evacuated = false;
        List.copyOf(scheduled).forEach(Runnable::run);
        assertThat(calls.count).isEqualTo(1);
    }
}
