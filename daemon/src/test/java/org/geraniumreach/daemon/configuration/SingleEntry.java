package org.geraniumreach.daemon.configuration;

import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.geraniumreach.coordination.membership.MembershipView;
import org.geraniumreach.daemon.membership.InstanceListReading;
import org.geraniumreach.daemon.membership.MembershipListener;
import org.geraniumreach.daemon.membership.MembershipService;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.MonotonicClock;

/** Starts the configuration of a single entry without peers. */
public final class SingleEntry {

    private static final InstanceId SELF = InstanceId.of("entry-1");

    private SingleEntry() {}

    /** A membership with a fixed set of entries. */
    record FixedMembership(Set<InstanceId> entries) implements MembershipService {

        @Override
        public MembershipView get() {
            return MembershipView.empty();
        }

        @Override
        public void addListener(MembershipListener listener) {}

        @Override
        public Optional<InstanceListReading> lastReading() {
            return Optional.empty();
        }

        @Override
        public Set<InstanceId> submittingEntries() {
            return entries;
        }

        @Override
        public void announceLeaving() {}
    }

    public static ReplicatedConfiguration start(
            ConfigurationSettings settings, InMemoryTable table, MonotonicClock clock) {
        return ReplicatedConfiguration.start(
                SELF,
                settings,
                table,
                new InMemoryLinks(SELF.value(), "entry"),
                new FixedMembership(Set.of(SELF)),
                clock,
                new Random(1));
    }
}
