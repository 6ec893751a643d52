package org.geraniumreach.daemon.operator;

import java.util.Locale;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.geraniumreach.coordination.membership.Member;
import org.geraniumreach.daemon.configuration.ConfigurationState;
import org.geraniumreach.daemon.configuration.ReplicatedConfiguration;
import org.geraniumreach.daemon.membership.MembershipService;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.MonotonicClock;

/**
 * Supplies the state of this process as JSON for operators.
 *
 * <p>Safe for use by several threads.
 */
public final class OperatorStatus implements Supplier<ObjectNode> {

    private final InstanceId self;
    private final ReplicatedConfiguration configuration;
    private final MembershipService membership;
    private final MonotonicClock clock;

    /**
     * Creates a supplier.
     *
     * @param self this instance, not null
     * @param configuration the configuration of this process, not null
     * @param membership the membership of this process, not null
     * @param clock the monotonic clock, not null
     */
    public OperatorStatus(
            InstanceId self,
            ReplicatedConfiguration configuration,
            MembershipService membership,
            MonotonicClock clock) {
        this.self = Objects.requireNonNull(self, "self");
        this.configuration = Objects.requireNonNull(configuration, "configuration");
        this.membership = Objects.requireNonNull(membership, "membership");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    @Override
    public ObjectNode get() {
        ConfigurationState state = configuration.state();
        long freshForMillis = TimeUnit.NANOSECONDS.toMillis(Math.max(0, state.freshUntilNanos() - clock.nanos()));
        ObjectNode json = RecordJson.object()
                .put("instance", self.value())
                .put("revision", state.configuration().revision())
                .put("ready", configuration.reasonNotReady().isEmpty())
                .put("freshForMillis", freshForMillis)
                .put("storeReachable", !state.storeUnreachable())
                .put("poller", state.poller())
                .put("unreadableRecords", state.configuration().unreadable().size());
        configuration.reasonNotReady().ifPresent(reason -> json.put("reasonNotReady", reason));
        ArrayNode members = json.putArray("members");
        membership.get().members().forEach(member -> members.add(ofMember(member)));
        return json;
    }

    private static ObjectNode ofMember(Member member) {
        ObjectNode json = RecordJson.object()
                .put("instance", member.instance().value())
                .put("role", member.role().name().toLowerCase(Locale.ROOT))
                .put("failureDomain", member.failureDomain().value())
                .put("listed", member.isListed())
                .put("linked", member.isLinked())
                .put("leaving", member.leaving());
        member.target().ifPresent(target -> json.put("target", target.value()));
        return json;
    }
}
