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
 * All records as they stand at one revision, ready to be asked.
 *
 * <p>Invariants: the content is what applying the entries 1 to {@link #revision} in order gives; a record that cannot be
 * read (a newer schema version, say) is listed in {@link #unreadable} and is as if withdrawn to every other query, so its
 * former content does not stay in force. Immutable and safe for use by several threads: a change makes a new one, which
 * shares what did not change.
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
     * Obtains the configuration before the first change.
     *
     * @return the configuration, not null
     */
    public static Configuration empty() {
        return EMPTY;
    }

    /**
     * Obtains the configuration that a snapshot holds.
     *
     * @param revision the snapshot's revision
     * @param records the last entry of each record that is not withdrawn, not null
     * @return the configuration, not null
     * @throws IllegalArgumentException if an entry is newer than the revision, withdrawn, or given twice
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
     * Gets the configuration after further changes.
     *
     * @param changes the entries that follow this revision, contiguous and rising, not null
     * @return the new configuration, not null
     * @throws IllegalArgumentException if an entry does not follow the one before it
     */
    public Configuration plus(List<LogEntry> changes) {
        if (changes.isEmpty()) {
            return this;
        }
        Map<RecordKey, LogEntry> changed = new HashMap<>(entries);
        Set<RecordKey> touched = new HashSet<>();
        long last = revision;
        for (LogEntry entry : changes) {
            if (entry.revision() != last + 1) {
                throw new IllegalArgumentException("revision " + entry.revision() + " does not follow " + last);
            }
            last = entry.revision();
            touched.add(entry.key());
            if (entry.body().isPresent()) {
                changed.put(entry.key(), entry);
            } else {
                changed.remove(entry.key());
            }
        }
        return new Configuration(last, changed, indexAfter(touched, changed));
    }

    private ConfigurationIndex indexAfter(Set<RecordKey> touched, Map<RecordKey, LogEntry> changed) {
        Set<RecordKind> kinds = EnumSet.noneOf(RecordKind.class);
        touched.forEach(key -> kinds.add(key.kind()));
        ConfigurationIndex after = index.copyFor(kinds);
        for (RecordKey key : touched) {
            LogEntry entry = changed.get(key);
            if (entry == null) {
                after.remove(key);
            } else {
                after.put(entry);
            }
        }
        return after;
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
     * @param key the record, not null
     * @return the entry, or empty if there is no such record
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
     * @param digest the digest of what the caller sent, not null
     * @return the key, or empty if it is unknown, withdrawn, or its account is
     */
    public Optional<AccessKey> key(KeyDigest digest) {
        return index.keysByDigest.getOrDefault(digest, List.of()).stream()
                .findFirst()
                .filter(key -> index.accountsById.containsKey(key.account()));
    }

    /**
     * Gets the digests of all keys that are good.
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
     * Queries whether an adapter exists in the version named.
     *
     * @param reference the adapter and version, not null
     * @return true if it exists
     */
    public boolean hasAdapter(AdapterReference reference) {
        return adapter(reference.adapter())
                .map(found -> found.versions().contains(reference.version()))
                .orElse(false);
    }

    /**
     * Queries whether a client account may use an adapter.
     *
     * @param account the account, not null
     * @param adapter the adapter's name, not null
     * @return true if it may
     */
    public boolean isAssigned(AccountId account, String adapter) {
        return index.assignedTo(account).contains(adapter);
    }

    /**
     * Gets the adapters and versions that a client account may use.
     *
     * @param account the account, not null
     * @return the references in order, not null
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
     * Gets the records that this program cannot read, with the reason for each.
     *
     * @return the records and reasons, unmodifiable, not null
     */
    public Map<RecordKey, String> unreadable() {
        return Collections.unmodifiableMap(index.unreadableReasons);
    }
}
