package org.geraniumreach.gateway.limit;

import org.geraniumreach.gateway.placement.Target;

/**
 * Sends requests for calls at limited targets to the entries that own the targets.
 *
 * <p>Confined to the event loop.
 */
@FunctionalInterface
public interface LimitPeers {

    /**
     * Requests a call. The answer, if any, is passed to {@link LimitAdmission#onAnswer}.
     *
     * @param owner the entry that owns the target, not null
     * @param number the number of the request, unique at this entry
     * @param target the target, not null
     * @param known what this entry knows of the limit, not null
     * @return false if the entry cannot be reached
     */
    boolean requestCall(String owner, long number, Target target, LimitReport known);
}
