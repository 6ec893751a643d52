package org.geraniumreach.gateway.silence;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.placement.TargetDescription;
import org.geraniumreach.gateway.placement.TargetRegistry;
import org.geraniumreach.gateway.testing.VirtualTime;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.SoftwareVersion;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.serving.retry.EjectionRules;
import org.geraniumreach.serving.retry.TargetHealth;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Reports silences of targets, and what ends them. */
class SilentTargetsTest {

    private static final TargetId A = TargetId.of("a");
    private static final int EJECTING_FAILURES = EjectionRules.standard().consecutiveFailures();

    private final VirtualTime time = new VirtualTime();
    private final TargetHealth health = TargetHealth.create(EjectionRules.standard(), time, new SplittableRandom(1));
    private final SilentTargets silences = new SilentTargets(health, time, time);
    private final TargetRegistry registry = new TargetRegistry(time);

    private Target put(String name, long startedAt) {
        registry.put(new TargetDescription(
                TargetId.of(name),
                startedAt,
                "service",
                SoftwareVersion.of("v1"),
                new InetSocketAddress("127.0.0.1", 1),
                FailureDomain.of("here"),
                8,
                false,
                Optional.of(Duration.ZERO),
                Map.of()));
        health.add(TargetId.of(name));
        return registry.find(TargetId.of(name)).orElseThrow();
    }

    private Target silentTarget(int requests) {
        put("b", 1);
        put("c", 1);
        Target target = put("a", 1);
        registry.addListener(silences);
        target.onRequestSent(0, time.nanos());
        time.advance(SilentTargets.MINIMUM_SILENCE);
        for (int request = 0; request < requests; request++) {
            assertThat(silences.onSilence(target, "request-" + request)).isTrue();
        }
        return target;
    }

    @Test
    void aTargetThatStaysSilentIsEjected() {
        silentTarget(EJECTING_FAILURES);
        assertThat(health.admits(A)).isTrue();
        time.advance(SilentTargets.MAXIMUM_SILENCE);
        assertThat(health.admits(A)).isFalse();
    }

    /** Guards against a sound target that is ejected since this process, not the target, has stood still. */
    @Test
    void aSignThatArrivedDuringASuspensionIsReadBeforeFailuresCount() {
        Target target = silentTarget(EJECTING_FAILURES);
        time.suspend(SilentTargets.MAXIMUM_SILENCE.plusSeconds(1));
        silences.onSign(target, time.nanos());
        assertThat(health.admits(A)).isTrue();
    }

    /** Guards against a restarted target that gets no requests for the silence of the process before it. */
    @Test
    void theSilenceOfAnEndedIncarnationIsNotThatOfTheNext() {
        Target ended = silentTarget(0);
        Target restarted = put("a", 2);
        assertThat(restarted).isNotSameAs(ended);
        time.advance(SilentTargets.MINIMUM_SILENCE);
        silences.onSilence(ended, "request");
        assertThat(silences.isSilent(restarted)).isFalse();
    }
}
