package org.geraniumreach.gateway.placement;

import java.util.Objects;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;

import org.geraniumreach.model.FailureDomain;

/**
 * What a placement knows about the entry that it runs in.
 *
 * <p>The functions are called on the event loop.
 *
 * @param entryCount the number of running entries
 * @param failureDomain this entry's failure domain
 * @param random supplies random numbers from 0 to below 1
 */
public record EntryContext(IntSupplier entryCount, FailureDomain failureDomain, DoubleSupplier random) {

    public EntryContext {
        Objects.requireNonNull(entryCount, "entryCount");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(random, "random");
    }
}
