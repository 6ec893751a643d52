package org.geraniumreach.gateway.stream;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.geraniumreach.gateway.adapter.TargetOwnership;
import org.geraniumreach.gateway.clock.ClockOffset;
import org.geraniumreach.gateway.clock.WallClock;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.placement.TargetRegistry;
import org.geraniumreach.gateway.port.DecisionLog;
import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.SoftwareVersion;
import org.geraniumreach.model.table.Row;
import org.geraniumreach.model.table.RowKey;
import org.geraniumreach.model.table.Transaction;
import org.geraniumreach.serving.routing.Rendezvous;

/**
 * Decides which software versions of a service may begin streams, and whether a service has only one.
 *
 * <p>Intended for services that have one version for days and several during a release. The versions of a service are listed
 * in the store. A version that is not the first one begins streams only after it has been listed and known for {@link
 * #ADOPTION_DELAY}, or known for as long if no other version is left. A service counts as having one version only while the
 * targets' rows that show it are younger than
 * that. So an entry that does not know of a new version yet cannot take its streams for those of the old one, and an entry
 * that has just started learns from the list of versions that have left.
 *
 * <p>The monotonic clock of a suspended process may stop. Rows that were read before it and the time of day have diverged are
 * therefore not recent, whatever their age is by that clock.
 *
 * <p>Invariant: a version is removed from the list only after no target has had it for {@link #RETENTION}. Confined to the
 * event loop.
 */
public final class ServiceVersions {

    /** Targets' rows are read every 0.8 to 1.5 s; older ones are a sign of an entry that cannot reach the store. */
    static final Duration MAXIMUM_ROW_AGE = Duration.ofMillis(2_500);

    /** At least {@link #MAXIMUM_ROW_AGE}; see the class. */
    static final Duration ADOPTION_DELAY = MAXIMUM_ROW_AGE;

    /** A caller whose stream has broken off does not wait that long before it takes the stream up again. */
    static final Duration RETENTION = Duration.ofMinutes(5);

    /** Delay of a proposal per rank, so that usually only the entry ranked first sends a transaction. */
    private static final Duration PROPOSAL_STAGGER = Duration.ofMillis(500);

    private static final int MAXIMUM_STAGGERED_RANK = 4;

    /** The store accepts 100 rows in a transaction. */
    private static final int MAXIMUM_PROPOSALS = 20;

    private static final String KEY_PREFIX = "software/";

    private final TargetRegistry registry;
    private final Supplier<OptionalLong> rowsReadAt;
    private final MonotonicClock clock;
    private final ClockOffset clockOffset;
    private final DecisionLog log;
    private final Map<String, KnownRow> rows = new HashMap<>();
    private final Map<ServiceVersion, Long> firstSeen = new HashMap<>();
    private final Map<ServiceVersion, Long> lastPresent = new HashMap<>();
    private final Map<String, Long> outdatedSince = new HashMap<>();
    private final Map<String, TargetVersions> targetVersions = new HashMap<>();
    private long lastOffsetMillis;
    private OptionalLong divergedAt = OptionalLong.empty();

    private record KnownRow(VersionRow row, long version) {}

    private record TargetVersions(List<Target> targets, Set<SoftwareVersion> versions) {}

    private record ServiceVersion(String service, SoftwareVersion version) {}

    /**
     * Creates an instance that knows no list.
     *
     * @param registry the known targets, not null
     * @param rowsReadAt the time as of which the targets' rows are known, in nanoseconds of the clock, not null
     * @param clock the monotonic clock, not null
     * @param wallClock the time of day, not null
     * @param log the decision log, not null
     */
    public ServiceVersions(
            TargetRegistry registry,
            Supplier<OptionalLong> rowsReadAt,
            MonotonicClock clock,
            WallClock wallClock,
            DecisionLog log) {
        this.registry = Objects.requireNonNull(registry, "registry");
        this.rowsReadAt = Objects.requireNonNull(rowsReadAt, "rowsReadAt");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.clockOffset = new ClockOffset(clock, wallClock);
        this.log = Objects.requireNonNull(log, "log");
        this.lastOffsetMillis = clockOffset.millis();
    }

    /**
     * Queries whether a row of {@link TargetOwnership#FLEET_TABLE} lists the versions of a service.
     *
     * @param key the row's key, not null
     * @return true if it does
     */
    public static boolean isVersionRow(String key) {
        return key.startsWith(KEY_PREFIX) && key.length() > KEY_PREFIX.length();
    }

    /**
     * Applies a row of the store.
     *
     * @param key the row's key, not null
     * @param row the row, empty if it was removed, not null
     */
    public void applyRow(String key, Optional<Row> row) {
        String service = key.substring(KEY_PREFIX.length());
        KnownRow known = rows.get(service);
        if (row.isEmpty()) {
            rows.remove(service);
            return;
        }
        if (known != null && known.version() >= row.get().version()) {
            return;
        }
        VersionRow listed = VersionRow.parse(row.get().value()).orElse(VersionRow.EMPTY);
        firstSeen
                .keySet()
                .removeIf(seen -> seen.service().equals(service)
                        && known != null
                        && known.row().versions().contains(seen.version())
                        && !listed.versions().contains(seen.version()));
        rows.put(service, new KnownRow(listed, row.get().version()));
        listed.versions().forEach(version -> recordSeen(new ServiceVersion(service, version)));
        log.write(
                EventCode.SOFTWARE_VERSIONS_CHANGED,
                service,
                Field.of(
                        "versions",
                        listed.versions().stream().map(SoftwareVersion::value).toList()),
                Field.of("row", row.get().version()));
    }

    private void recordSeen(ServiceVersion version) {
        firstSeen.putIfAbsent(version, clock.nanos());
        lastPresent.putIfAbsent(version, clock.nanos());
    }

    /**
     * Finds the version that began all streams of a service that can still be taken up.
     *
     * @param service the service, not null
     * @return the version, or empty if there may be several or this entry's knowledge is too old, not null
     */
    public Optional<SoftwareVersion> soleVersion(String service) {
        KnownRow known = rows.get(service);
        if (known == null || known.row().versions().size() != 1 || !areRowsRecent()) {
            return Optional.empty();
        }
        SoftwareVersion only = known.row().versions().get(0);
        return Set.of(only).containsAll(targetVersions(service)) ? Optional.of(only) : Optional.empty();
    }

    /** Gets the versions of a service's targets, computed again only if the targets change, as each placement asks for them. */
    private Set<SoftwareVersion> targetVersions(String service) {
        List<Target> targets = registry.findByService(service);
        TargetVersions known = targetVersions.get(service);
        if (known == null || known.targets() != targets) {
            known = new TargetVersions(
                    targets, targets.stream().map(ServiceVersions::versionOf).collect(Collectors.toUnmodifiableSet()));
            targetVersions.put(service, known);
        }
        return known.versions();
    }

    private boolean areRowsRecent() {
        long offsetMillis = clockOffset.millis();
        if (ClockOffset.haveDiverged(lastOffsetMillis, offsetMillis)) {
            divergedAt = OptionalLong.of(clock.nanos());
        }
        lastOffsetMillis = offsetMillis;
        OptionalLong readAt = rowsReadAt.get();
        return readAt.isPresent()
                && clock.nanos() - readAt.getAsLong() < MAXIMUM_ROW_AGE.toNanos()
                && (divergedAt.isEmpty() || readAt.getAsLong() - divergedAt.getAsLong() > 0);
    }

    private static SoftwareVersion versionOf(Target target) {
        return target.description().softwareVersion();
    }

    /**
     * Gets the versions of a service that may not begin streams yet. If that leaves none that accepts requests, those may that this entry has
     * known for {@link #ADOPTION_DELAY}, and all if it has not seen another version for as long.
     *
     * @param service the service, not null
     * @return the versions, not null
     */
    public Set<SoftwareVersion> heldVersions(String service) {
        KnownRow known = rows.get(service);
        if (known == null || isOnlyAdopted(service, known.row())) {
            return Set.of();
        }
        Set<SoftwareVersion> accepting = new HashSet<>();
        registry.findByService(service).stream()
                .filter(Target::acceptsRequests)
                .forEach(target -> accepting.add(versionOf(target)));
        Set<SoftwareVersion> held = new HashSet<>(accepting);
        held.removeIf(version -> isAdopted(service, version, known.row()));
        if (held.size() == accepting.size()) {
            held.removeIf(version -> hasBeenKnown(service, version) || !hasOtherBeenPresent(service, version));
        }
        return held;
    }

    /** Queries the usual case quickly, as each placement asks. */
    private boolean isOnlyAdopted(String service, VersionRow row) {
        Set<SoftwareVersion> present = targetVersions(service);
        return present.size() == 1 && isAdopted(service, present.iterator().next(), row);
    }

    private boolean isAdopted(String service, SoftwareVersion version, VersionRow row) {
        int index = row.versions().indexOf(version);
        return index == 0 || index > 0 && hasBeenKnown(service, version);
    }

    /** Queries whether an entry that does not know a version, and has rows that are as recent as they must be, can exist no more. */
    private boolean hasBeenKnown(String service, SoftwareVersion version) {
        Long seenAt = firstSeen.get(new ServiceVersion(service, version));
        return seenAt != null && clock.nanos() - seenAt >= ADOPTION_DELAY.toNanos();
    }

    private boolean hasOtherBeenPresent(String service, SoftwareVersion version) {
        return lastPresent.entrySet().stream()
                .filter(present -> present.getKey().service().equals(service)
                        && !present.getKey().version().equals(version))
                .anyMatch(present -> clock.nanos() - present.getValue() < MAXIMUM_ROW_AGE.toNanos());
    }

    /**
     * Proposes changes of the lists, if any are due at this entry.
     *
     * @param entries the reachable entries with this one, not null
     * @param self this entry, not null
     * @return the transaction, or empty if nothing is to be changed now, not null
     */
    public Optional<Transaction> proposeTransaction(Collection<String> entries, String self) {
        Map<String, Set<SoftwareVersion>> present = presentVersions();
        rows.keySet().forEach(service -> present.computeIfAbsent(service, unused -> Set.of()));
        Transaction proposed = Transaction.empty();
        for (Map.Entry<String, Set<SoftwareVersion>> service : present.entrySet()) {
            if (proposed.writes().size() == MAXIMUM_PROPOSALS) {
                break;
            }
            Optional<VersionRow> changed = changedRow(service.getKey(), service.getValue());
            if (changed.isEmpty()) {
                outdatedSince.remove(service.getKey());
            } else if (isProposalDue(service.getKey(), entries, self)) {
                RowKey key = RowKey.of(TargetOwnership.FLEET_TABLE, KEY_PREFIX + service.getKey());
                long version = Optional.ofNullable(rows.get(service.getKey()))
                        .map(KnownRow::version)
                        .orElse(Transaction.ABSENT_VERSION);
                proposed = proposed.withCondition(key, version)
                        .withWrite(key, changed.get().toText());
            }
        }
        return proposed.writes().isEmpty() ? Optional.empty() : Optional.of(proposed);
    }

    private Map<String, Set<SoftwareVersion>> presentVersions() {
        Map<String, Set<SoftwareVersion>> present = new TreeMap<>();
        for (Target target : registry.all()) {
            ServiceVersion version = new ServiceVersion(target.description().service(), versionOf(target));
            recordSeen(version);
            lastPresent.put(version, clock.nanos());
            present.computeIfAbsent(version.service(), unused -> new LinkedHashSet<>())
                    .add(version.version());
        }
        return present;
    }

    private Optional<VersionRow> changedRow(String service, Set<SoftwareVersion> present) {
        VersionRow row =
                Optional.ofNullable(rows.get(service)).map(KnownRow::row).orElse(VersionRow.EMPTY);
        Set<String> added = new TreeSet<>();
        present.stream()
                .filter(version -> !row.versions().contains(version))
                .forEach(version -> added.add(version.value()));
        List<SoftwareVersion> removed = row.versions().stream()
                .filter(version -> !present.contains(version) && hasLeft(new ServiceVersion(service, version)))
                .toList();
        return added.isEmpty() && removed.isEmpty()
                ? Optional.empty()
                : Optional.of(row.with(
                        removed, added.stream().map(SoftwareVersion::of).toList()));
    }

    private boolean hasLeft(ServiceVersion version) {
        return clock.nanos() - lastPresent.get(version) >= RETENTION.toNanos();
    }

    private boolean isProposalDue(String service, Collection<String> entries, String self) {
        long since = outdatedSince.computeIfAbsent(service, unused -> clock.nanos());
        int keyHash = Rendezvous.hash(service);
        int own = Rendezvous.score(keyHash, Rendezvous.hash(self));
        long ahead = entries.stream()
                .filter(entry -> Rendezvous.score(keyHash, Rendezvous.hash(entry)) > own)
                .limit(MAXIMUM_STAGGERED_RANK)
                .count();
        return clock.nanos() - since >= PROPOSAL_STAGGER.multipliedBy(ahead).toNanos();
    }
}
