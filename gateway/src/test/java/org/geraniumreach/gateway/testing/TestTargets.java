package org.geraniumreach.gateway.testing;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.gateway.placement.TargetDescription;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.SoftwareVersion;
import org.geraniumreach.model.TargetId;

/** Descriptions of targets for tests. */
public final class TestTargets {

    private static final int SLOTS = 64;
    private static final int UNUSED_PORT = 9;

    private TestTargets() {}

    /** Describes an incarnation of a target that is ready and holds no models. */
    public static TargetDescription describe(TargetId id, long startedAt) {
        return describe(id, startedAt, SoftwareVersion.of("v1"));
    }

    /** Describes an incarnation of a target of a software version that is ready and holds no models. */
    public static TargetDescription describe(TargetId id, long startedAt, SoftwareVersion version) {
        return describe(id, startedAt, version, false);
    }

    /** Describes an incarnation of a target that drains and holds no models. */
    public static TargetDescription describeDraining(TargetId id, long startedAt) {
        return describe(id, startedAt, SoftwareVersion.of("v1"), true);
    }

    private static TargetDescription describe(TargetId id, long startedAt, SoftwareVersion version, boolean draining) {
        return new TargetDescription(
                id,
                startedAt,
                "service",
                version,
                new InetSocketAddress("127.0.0.1", UNUSED_PORT),
                FailureDomain.of("here"),
                SLOTS,
                draining,
                Optional.empty(),
                Map.of());
    }
}
