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
 * @param clock the time of day
 * @param attemptIds makes attempt ids
 * @param companionSelector chooses a companion, empty if none offers the operation
 * @param isSenderLive whether an entry is live
 * @param isCompanionGone whether a companion's instance is gone for good
 */
public record LedgerView(
        Supplier<Instant> clock,
        Supplier<AttemptId> attemptIds,
        Supplier<Optional<Companion>> companionSelector,
        Predicate<Sender> isSenderLive,
        Predicate<Companion> isCompanionGone) {}
