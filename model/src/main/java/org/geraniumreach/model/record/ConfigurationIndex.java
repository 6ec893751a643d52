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
 * What the records of a configuration say, by what is asked for.
 *
 * <p>Invariants: each record is parsed once, when it is added; what the index answers depends on the records that it holds
 * and not on the order in which they came, so that all instances agree. A copy shares the parsed values and copies only the
 * maps of the kinds that change. Filled while a configuration is made and never changed afterwards; not safe for use by
 * several threads until then.
 */
final class ConfigurationIndex {

    final Map<AccountId, ClientAccount> accountsById;
    /** The keys of each digest in the order of their names; the first is the one that counts. */
    final Map<KeyDigest, List<AccessKey>> keysByDigest;

    final Map<String, Adapter> adaptersByName;
    /** For each client account the adapters assigned to it, each with the number of assignments that name it. */
    final Map<AccountId, Map<String, Integer>> adapterCountsByAccount;

    final Map<TargetId, Target> targetsById;
    final Map<ServiceName, Service> servicesByName;
    final Map<RecordKey, String> unreadableReasons;

    private final Map<String, AccessKey> keysByName;
    private final Map<String, Assignment> assignmentsByName;

    /** The accounts whose map in {@link #adapterCountsByAccount} is this index's own, and not shared with the one it was copied from. */
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

    private ConfigurationIndex(ConfigurationIndex from, Set<RecordKind> changing) {
        accountsById = copyIf(changing.contains(RecordKind.ACCOUNT), from.accountsById);
        keysByDigest = copyIf(changing.contains(RecordKind.KEY), from.keysByDigest);
        keysByName = copyIf(changing.contains(RecordKind.KEY), from.keysByName);
        adaptersByName = copyIf(changing.contains(RecordKind.ADAPTER), from.adaptersByName);
        adapterCountsByAccount = copyIf(changing.contains(RecordKind.ASSIGNMENT), from.adapterCountsByAccount);
        assignmentsByName = copyIf(changing.contains(RecordKind.ASSIGNMENT), from.assignmentsByName);
        targetsById = copyIf(changing.contains(RecordKind.TARGET), from.targetsById);
        servicesByName = copyIf(changing.contains(RecordKind.SERVICE), from.servicesByName);
        unreadableReasons = new HashMap<>(from.unreadableReasons);
    }

    private static <K, V> Map<K, V> copyIf(boolean changes, Map<K, V> map) {
        return changes ? new HashMap<>(map) : map;
    }

    /**
     * Gets a copy in which records of some kinds may be put and removed.
     *
     * @param changing the kinds, not null
     * @return the copy, not null
     */
    ConfigurationIndex copyFor(Set<RecordKind> changing) {
        return new ConfigurationIndex(this, changing);
    }

    /**
     * Puts a record in the place of the one with its key, if there is one.
     *
     * @param entry the record's last entry, with a body, not null
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
     * Removes a record; one that is not there is passed over.
     *
     * @param key the record, not null
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
        List<AccessKey> same = new ArrayList<>(keysByDigest.getOrDefault(key.digest(), List.of()));
        same.add(key);
        same.sort(Comparator.comparing(AccessKey::name));
        keysByDigest.put(key.digest(), List.copyOf(same));
    }

    private void removeKey(String name) {
        AccessKey removed = keysByName.remove(name);
        if (removed == null) {
            return;
        }
        List<AccessKey> rest = keysByDigest.get(removed.digest()).stream()
                .filter(key -> !key.name().equals(name))
                .toList();
        if (rest.isEmpty()) {
            keysByDigest.remove(removed.digest());
        } else {
            keysByDigest.put(removed.digest(), rest);
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
     * @return the adapters' names, not null
     */
    Set<String> assignedTo(AccountId account) {
        return adapterCountsByAccount.getOrDefault(account, Map.of()).keySet();
    }
}
