package org.geraniumreach.model.record;

import java.util.Set;

import org.geraniumreach.model.AccountId;

/**
 * The right of a client account to use adapters.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the name of the record
 * @param account the client account
 * @param adapters the names of the adapters; the right covers all their versions
 */
public record Assignment(String name, AccountId account, Set<String> adapters) {

    public Assignment {
        adapters = Set.copyOf(adapters);
    }
}
