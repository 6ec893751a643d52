package org.geraniumreach.model.record;

import java.util.Collection;
import java.util.Collections;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.KeyDigest;
import org.geraniumreach.model.ServiceName;
import org.geraniumreach.model.TargetId;

/**
 * All records at one revision, indexed for queries.
 *
 * <p>Invariants: the content is the result of applying the entries 1 to {@link #revision} in order; a record that cannot be
 * read, for example because of a newer schema version, is listed in {@link #unreadable} and treated as withdrawn by all
 * other queries, so that its previous content does not remain in effect. Immutable and safe for use by several threads: a
 * change creates a new configuration, which shares the unchanged parts.
 */
public final class Configuration {

    private static final Configuration EMPTY = new Configuration(0, Map.of(), new ConfigurationIndex());

    private final long revision;
    private final Map<RecordKey, LogEntry> entries;
    private final ConfigurationIndex index;

    private Configuration(long revision, Map<RecordKey, LogEntry> entries, ConfigurationIndex index) {
        this.revision = revision;
        this.entries = entries;
        this.index = index;
    }

    /**
     * Returns the configuration before the first change.
     *
     * @return the configuration, not null
     */
    public static Configuration empty() {
        return EMPTY;
    }

    /**
     * Creates a configuration from a snapshot.
     *
     * @param revision the revision of the snapshot
     * @param records the last entry of each record that is not withdrawn, not null
     * @return the configuration, not null
     * @throws IllegalArgumentException if an entry is newer than the revision, withdrawn or duplicated
     */
    public static Configuration ofSnapshot(long revision, Collection<LogEntry> records) {
        Map<RecordKey, LogEntry> entries = new HashMap<>();
        for (LogEntry entry : records) {
            if (entry.revision() > revision || entry.body().isEmpty() || entries.put(entry.key(), entry) != null) {
                throw new IllegalArgumentException("not an entry of a snapshot at " + revision + ": " + entry.key());
            }
        }
        ConfigurationIndex index = new ConfigurationIndex();
        entries.values().forEach(index::put);
        return new Configuration(revision, entries, index);
    }

    /**
     * Creates the configuration that results from further changes.
     *
     * @param changes the entries that follow this revision, in revision order and without gaps, not null
     * @return the new configuration, not null
     * @throws IllegalArgumentException if an entry does not follow its predecessor
     */
    public Configuration plus(List<LogEntry> changes) {
        if (changes.isEmpty()) {
            return this;
        }
        Map<RecordKey, LogEntry> newEntries = new HashMap<>(entries);
        Set<RecordKey> changedKeys = new HashSet<>();
        long last = revision;
        for (LogEntry entry : changes) {
            if (entry.revision() != last + 1) {
                throw new IllegalArgumentException("revision " + entry.revision() + " does not follow " + last);
            }
            last = entry.revision();
            changedKeys.add(entry.key());
            if (entry.body().isPresent()) {
                newEntries.put(entry.key(), entry);
            } else {
                newEntries.remove(entry.key());
            }
        }
        return new Configuration(last, newEntries, indexAfter(changedKeys, newEntries));
    }

    private ConfigurationIndex indexAfter(Set<RecordKey> changedKeys, Map<RecordKey, LogEntry> newEntries) {
        Set<RecordKind> kinds = EnumSet.noneOf(RecordKind.class);
        changedKeys.forEach(key -> kinds.add(key.kind()));
        ConfigurationIndex newIndex = index.copyFor(kinds);
        for (RecordKey key : changedKeys) {
            LogEntry entry = newEntries.get(key);
            if (entry == null) {
                newIndex.remove(key);
            } else {
                newIndex.put(entry);
            }
        }
        return newIndex;
    }

    public long revision() {
        return revision;
    }

    /**
     * Gets the last entry of each record that is not withdrawn.
     *
     * @return the entries, in no particular order, unmodifiable, not null
     */
    public Collection<LogEntry> entries() {
        return Collections.unmodifiableCollection(entries.values());
    }

    /**
     * Finds the last entry of a record.
     *
     * @param key the key of the record, not null
     * @return the entry, or empty if the record does not exist
     */
    public Optional<LogEntry> entry(RecordKey key) {
        return Optional.ofNullable(entries.get(key));
    }

    public Optional<ClientAccount> account(AccountId id) {
        return Optional.ofNullable(index.accountsById.get(id));
    }

    public Collection<ClientAccount> accounts() {
        return Collections.unmodifiableCollection(index.accountsById.values());
    }

    /**
     * Finds the key with a digest, if its client account exists.
     *
     * @param digest the digest of the secret sent by the caller, not null
     * @return the key, or empty if the key or its account is unknown or withdrawn
     */
    public Optional<AccessKey> key(KeyDigest digest) {
        return index.keysByDigest.getOrDefault(digest, List.of()).stream()
                .findFirst()
                .filter(key -> index.accountsById.containsKey(key.account()));
    }

    /**
     * Gets the digests of all valid keys, whose client accounts exist.
     *
     * @return the digests, not null
     */
    public Set<KeyDigest> keyDigests() {
        Set<KeyDigest> digests = new HashSet<>(index.keysByDigest.keySet());
        digests.removeIf(digest -> key(digest).isEmpty());
        return digests;
    }

    public Optional<Adapter> adapter(String name) {
        return Optional.ofNullable(index.adaptersByName.get(name));
    }

    /**
     * Checks whether a version of an adapter exists.
     *
     * @param reference the adapter and version, not null
     * @return true if the version exists
     */
    public boolean hasAdapter(AdapterReference reference) {
        return adapter(reference.adapter())
                .map(found -> found.versions().contains(reference.version()))
                .orElse(false);
    }

    /**
     * Checks whether a client account may use an adapter.
     *
     * @param account the account, not null
     * @param adapter the name of the adapter, not null
     * @return true if the adapter is assigned to the account
     */
    public boolean isAssigned(AccountId account, String adapter) {
        return index.assignedTo(account).contains(adapter);
    }

    /**
     * Gets the adapter versions that a client account may use.
     *
     * @param account the account, not null
     * @return the references in ascending order, not null
     */
    public Set<AdapterReference> adaptersOf(AccountId account) {
        Set<AdapterReference> references = new TreeSet<>();
        for (String name : index.assignedTo(account)) {
            adapter(name).ifPresent(found -> found.versions()
                    .forEach(version -> references.add(AdapterReference.of(name, version))));
        }
        return references;
    }

    public Optional<Target> target(TargetId id) {
        return Optional.ofNullable(index.targetsById.get(id));
    }

    public Collection<Target> targets() {
        return Collections.unmodifiableCollection(index.targetsById.values());
    }

    public Optional<Service> service(ServiceName name) {
        return Optional.ofNullable(index.servicesByName.get(name));
    }

    /**
     * Gets the records that this program cannot read and the reason for each.
     *
     * @return the reasons by record key, unmodifiable, not null
     */
    public Map<RecordKey, String> unreadable() {
        return Collections.unmodifiableMap(index.unreadableReasons);
    }
}
