package org.geraniumreach.model.record;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
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

    private static final Configuration EMPTY = new Configuration(0, Map.of(), new View());

    private final long revision;
    private final Map<RecordKey, LogEntry> entries;
    private final View view;

    private Configuration(long revision, Map<RecordKey, LogEntry> entries, View view) {
        this.revision = revision;
        this.entries = entries;
        this.view = view;
    }

    /** What the records say, by what is asked for; filled while a configuration is made and never changed afterwards. */
    private static final class View {
        private final Map<AccountId, ClientAccount> accounts = new HashMap<>();
        private final Map<KeyDigest, AccessKey> keys = new HashMap<>();
        private final Map<String, Adapter> adapters = new HashMap<>();
        private final Map<AccountId, Set<String>> assigned = new HashMap<>();
        private final Map<TargetId, Target> targets = new HashMap<>();
        private final Map<ServiceName, Service> services = new HashMap<>();
        private final Map<RecordKey, String> unreadable = new HashMap<>();

        private void add(LogEntry entry) {
            String name = entry.key().name();
            try {
                JsonNode record = RecordReader.parse(entry.body().orElseThrow());
                switch (entry.key().kind()) {
                    case ACCOUNT -> accounts.put(AccountId.of(name), RecordReader.account(name, record));
                    case KEY -> addKey(RecordReader.key(name, record));
                    case ADAPTER -> adapters.put(name, RecordReader.adapter(name, record));
                    case ASSIGNMENT -> addAssignment(RecordReader.assignment(name, record));
                    case TARGET -> targets.put(TargetId.of(name), RecordReader.target(name, record));
                    case SERVICE -> services.put(ServiceName.of(name), RecordReader.service(name, record));
                    default -> throw new IllegalStateException(
                            "unhandled kind " + entry.key().kind());
                }
            } catch (RecordException invalid) {
                unreadable.put(entry.key(), invalid.getMessage());
            }
        }

        private void addKey(AccessKey key) {
            keys.put(key.digest(), key);
        }

        private void addAssignment(Assignment assignment) {
            assigned.computeIfAbsent(assignment.account(), account -> new HashSet<>())
                    .addAll(assignment.adapters());
        }
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
        return new Configuration(revision, entries, viewOf(entries));
    }

    /**
     * Gets the configuration after further changes.
     *
     * @param changes the entries that follow this revision, contiguous and rising, not null
     * @return the new configuration, not null
     * @throws IllegalArgumentException if an entry does not follow the one before it
     */
    public Configuration plus(List<LogEntry> changes) {
        Map<RecordKey, LogEntry> changed = new HashMap<>(entries);
        long last = revision;
        for (LogEntry entry : changes) {
            if (entry.revision() != last + 1) {
                throw new IllegalArgumentException("revision " + entry.revision() + " does not follow " + last);
            }
            last = entry.revision();
            if (entry.body().isPresent()) {
                changed.put(entry.key(), entry);
            } else {
                changed.remove(entry.key());
            }
        }
        return new Configuration(last, changed, viewOf(changed));
    }

    private static View viewOf(Map<RecordKey, LogEntry> entries) {
        View view = new View();
        entries.values().forEach(view::add);
        return view;
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
        return Optional.ofNullable(view.accounts.get(id));
    }

    public Collection<ClientAccount> accounts() {
        return Collections.unmodifiableCollection(view.accounts.values());
    }

    /**
     * Finds the key with a digest, if its client account exists.
     *
     * @param digest the digest of what the caller sent, not null
     * @return the key, or empty if it is unknown, withdrawn, or its account is
     */
    public Optional<AccessKey> key(KeyDigest digest) {
        return Optional.ofNullable(view.keys.get(digest)).filter(key -> view.accounts.containsKey(key.account()));
    }

    public Optional<Adapter> adapter(String name) {
        return Optional.ofNullable(view.adapters.get(name));
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
        return view.assigned.getOrDefault(account, Set.of()).contains(adapter);
    }

    /**
     * Gets the adapters and versions that a client account may use.
     *
     * @param account the account, not null
     * @return the references in order, not null
     */
    public Set<AdapterReference> adaptersOf(AccountId account) {
        Set<AdapterReference> references = new TreeSet<>();
        for (String name : view.assigned.getOrDefault(account, Set.of())) {
            adapter(name).ifPresent(found -> found.versions()
                    .forEach(version -> references.add(AdapterReference.of(name, version))));
        }
        return references;
    }

    public Optional<Target> target(TargetId id) {
        return Optional.ofNullable(view.targets.get(id));
    }

    public Collection<Target> targets() {
        return Collections.unmodifiableCollection(view.targets.values());
    }

    public Optional<Service> service(ServiceName name) {
        return Optional.ofNullable(view.services.get(name));
    }

    /**
     * Gets the records that this program cannot read, with the reason for each.
     *
     * @return the records and reasons, unmodifiable, not null
     */
    public Map<RecordKey, String> unreadable() {
        return Collections.unmodifiableMap(view.unreadable);
    }
}
