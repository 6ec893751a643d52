package org.geraniumreach.model.record;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.KeyDigest;
import org.geraniumreach.model.ServiceName;
import org.geraniumreach.model.TargetId;

/**
 * Indexes the parsed records of a configuration by their query keys.
 *
 * <p>Invariants: each record is parsed once, when it is added; the content depends on the records and not on the order in
 * which they were added, so that all instances agree. A copy shares the parsed values and copies only the maps of the kinds
 * that change. Modified only while a configuration is built, and not safe for use by several threads until then.
 */
final class ConfigurationIndex {

    final Map<AccountId, ClientAccount> accountsById;
    /** The keys with each digest, ordered by name; the first one is effective. */
    final Map<KeyDigest, List<AccessKey>> keysByDigest;

    final Map<String, Adapter> adaptersByName;
    /** For each client account, the assigned adapters and the number of assignments that name each of them. */
    final Map<AccountId, Map<String, Integer>> adapterCountsByAccount;

    final Map<TargetId, Target> targetsById;
    final Map<ServiceName, Service> servicesByName;
    final Map<RecordKey, String> unreadableReasons;

    private final Map<String, AccessKey> keysByName;
    private final Map<String, Assignment> assignmentsByName;

    /** The accounts whose map in {@link #adapterCountsByAccount} this index owns, rather than shares with its source. */
    private final Set<AccountId> ownedAssignments = new HashSet<>();

    ConfigurationIndex() {
        accountsById = new HashMap<>();
        keysByDigest = new HashMap<>();
        adaptersByName = new HashMap<>();
        adapterCountsByAccount = new HashMap<>();
        targetsById = new HashMap<>();
        servicesByName = new HashMap<>();
        unreadableReasons = new HashMap<>();
        keysByName = new HashMap<>();
        assignmentsByName = new HashMap<>();
    }

    private ConfigurationIndex(ConfigurationIndex source, Set<RecordKind> changedKinds) {
        accountsById = copyIf(changedKinds.contains(RecordKind.ACCOUNT), source.accountsById);
        keysByDigest = copyIf(changedKinds.contains(RecordKind.KEY), source.keysByDigest);
        keysByName = copyIf(changedKinds.contains(RecordKind.KEY), source.keysByName);
        adaptersByName = copyIf(changedKinds.contains(RecordKind.ADAPTER), source.adaptersByName);
        adapterCountsByAccount = copyIf(changedKinds.contains(RecordKind.ASSIGNMENT), source.adapterCountsByAccount);
        assignmentsByName = copyIf(changedKinds.contains(RecordKind.ASSIGNMENT), source.assignmentsByName);
        targetsById = copyIf(changedKinds.contains(RecordKind.TARGET), source.targetsById);
        servicesByName = copyIf(changedKinds.contains(RecordKind.SERVICE), source.servicesByName);
        unreadableReasons = new HashMap<>(source.unreadableReasons);
    }

    private static <K, V> Map<K, V> copyIf(boolean isChanged, Map<K, V> map) {
        return isChanged ? new HashMap<>(map) : map;
    }

    /**
     * Creates a copy in which records of some kinds may be added and removed.
     *
     * @param changedKinds the kinds, not null
     * @return the copy, not null
     */
    ConfigurationIndex copyFor(Set<RecordKind> changedKinds) {
        return new ConfigurationIndex(this, changedKinds);
    }

    /**
     * Adds a record, replacing the one with the same key if there is one.
     *
     * @param entry the last entry of the record, with a body, not null
     */
    void put(LogEntry entry) {
        remove(entry.key());
        String name = entry.key().name();
        try {
            JsonNode record = RecordReader.parse(entry.body().orElseThrow());
            switch (entry.key().kind()) {
                case ACCOUNT -> accountsById.put(AccountId.of(name), RecordReader.account(name, record));
                case KEY -> addKey(RecordReader.key(name, record));
                case ADAPTER -> adaptersByName.put(name, RecordReader.adapter(name, record));
                case ASSIGNMENT -> addAssignment(RecordReader.assignment(name, record));
                case TARGET -> targetsById.put(TargetId.of(name), RecordReader.target(name, record));
                case SERVICE -> servicesByName.put(ServiceName.of(name), RecordReader.service(name, record));
                default -> throw new IllegalStateException(
                        "unhandled kind " + entry.key().kind());
            }
        } catch (RecordException invalid) {
            unreadableReasons.put(entry.key(), invalid.getMessage());
        }
    }

    /**
     * Removes a record if it is present.
     *
     * @param key the key of the record, not null
     */
    void remove(RecordKey key) {
        unreadableReasons.remove(key);
        String name = key.name();
        switch (key.kind()) {
            case ACCOUNT -> accountsById.remove(AccountId.of(name));
            case KEY -> removeKey(name);
            case ADAPTER -> adaptersByName.remove(name);
            case ASSIGNMENT -> removeAssignment(name);
            case TARGET -> targetsById.remove(TargetId.of(name));
            case SERVICE -> servicesByName.remove(ServiceName.of(name));
            default -> throw new IllegalStateException("unhandled kind " + key.kind());
        }
    }

    private void addKey(AccessKey key) {
        keysByName.put(key.name(), key);
        List<AccessKey> keysWithDigest = new ArrayList<>(keysByDigest.getOrDefault(key.digest(), List.of()));
        keysWithDigest.add(key);
        keysWithDigest.sort(Comparator.comparing(AccessKey::name));
        keysByDigest.put(key.digest(), List.copyOf(keysWithDigest));
    }

    private void removeKey(String name) {
        AccessKey removed = keysByName.remove(name);
        if (removed == null) {
            return;
        }
        List<AccessKey> remaining = keysByDigest.get(removed.digest()).stream()
                .filter(key -> !key.name().equals(name))
                .toList();
        if (remaining.isEmpty()) {
            keysByDigest.remove(removed.digest());
        } else {
            keysByDigest.put(removed.digest(), remaining);
        }
    }

    private void addAssignment(Assignment assignment) {
        assignmentsByName.put(assignment.name(), assignment);
        Map<String, Integer> counts = ownedAssignmentsOf(assignment.account());
        assignment.adapters().forEach(adapter -> counts.merge(adapter, 1, Integer::sum));
    }

    private void removeAssignment(String name) {
        Assignment removed = assignmentsByName.remove(name);
        if (removed == null) {
            return;
        }
        Map<String, Integer> counts = ownedAssignmentsOf(removed.account());
        removed.adapters()
                .forEach(adapter -> counts.computeIfPresent(adapter, (key, count) -> count == 1 ? null : count - 1));
    }

    private Map<String, Integer> ownedAssignmentsOf(AccountId account) {
        if (ownedAssignments.add(account)) {
            adapterCountsByAccount.put(account, new HashMap<>(adapterCountsByAccount.getOrDefault(account, Map.of())));
        }
        return adapterCountsByAccount.get(account);
    }

    /**
     * Gets the adapters that are assigned to a client account.
     *
     * @param account the account, not null
     * @return the names of the adapters, not null
     */
    Set<String> assignedTo(AccountId account) {
        return adapterCountsByAccount.getOrDefault(account, Map.of()).keySet();
    }
}
