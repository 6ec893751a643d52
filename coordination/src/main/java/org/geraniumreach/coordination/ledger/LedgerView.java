package org.geraniumreach.coordination.ledger;

import java.time.Instant;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.geraniumreach.model.AttemptId;

/**
 * What a {@link LedgerCall} asks about the world around it.
 *
 * <p>No answer is needed for safety: a wrong one costs time or an unknown outcome, never a second run.
 *
 * @param now the time of day
 * @param newAttempt makes attempt ids
 * @param chooser chooses a companion, empty if none offers the operation
 * @param liveSender whether an entry is live
 * @param goneCompanion whether a companion's instance is gone for good
 */
public record LedgerView(
        Supplier<Instant> now,
        Supplier<AttemptId> newAttempt,
        Supplier<Optional<Companion>> chooser,
        Predicate<Sender> liveSender,
        Predicate<Companion> goneCompanion) {}
