package org.geraniumreach.coordination.ledger;

import java.time.Instant;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.geraniumreach.model.AttemptId;

/**
 * The functions with which a {@link LedgerCall} queries its environment.
 *
 * <p>Safety does not depend on the answers: a wrong one causes a delay or an unknown outcome, never a second run.
 *
 * @param clock gets the current time of day
 * @param attemptIds creates unique attempt ids
 * @param companionSelector selects a companion, empty if none offers the operation
 * @param isSenderLive whether an entry is live
 * @param isCompanionGone whether a companion's instance is permanently gone
 */
public record LedgerContext(
        Supplier<Instant> clock,
        Supplier<AttemptId> attemptIds,
        Supplier<Optional<Companion>> companionSelector,
        Predicate<Sender> isSenderLive,
        Predicate<Companion> isCompanionGone) {}
