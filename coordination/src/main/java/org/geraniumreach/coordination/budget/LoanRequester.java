package org.geraniumreach.coordination.budget;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.geraniumreach.model.InstanceId;

/**
 * Selects the entries to ask for loans for one account and tracks the pending request; at most one is pending.
 *
 * <p>Invariant: an answer is accepted once, and only from the entry asked and for the pending request. Not safe for use
 * by several threads.
 */
final class LoanRequester {

    /** The number of entries to ask before concluding that no budget can be borrowed. */
    private static final int MAX_LENDERS_PER_ROUND = 4;

    private final RandomGenerator random;
    private final long answerTimeoutNanos;
    private final long backOffNanos;
    private final Set<InstanceId> askedLenders = new HashSet<>();
    private Optional<InstanceId> lastLender = Optional.empty();
    private Optional<InstanceId> pendingLender = Optional.empty();
    private long requestNumber;
    private long requestedAt;
    private long backOffUntil = Long.MIN_VALUE;

    LoanRequester(RandomGenerator random, long answerTimeoutNanos) {
        this.random = random;
        // Starts at a random number: an answer to an earlier incarnation of this process could otherwise match a later
        // request, and the loan, timed from that request, would be spent here after the lender has reclaimed it.
        this.requestNumber = random.nextLong();
        this.answerTimeoutNanos = answerTimeoutNanos;
        this.backOffNanos = 2 * answerTimeoutNanos;
    }

    boolean isPending() {
        return pendingLender.isPresent();
    }

    /** Gets the time after which the pending request has timed out. */
    long answerDeadline() {
        return requestedAt + answerTimeoutNanos;
    }

    long requestedAt() {
        return requestedAt;
    }

    long requestNumber() {
        return requestNumber;
    }

    /**
     * Starts a request to the next entry; empty while a request is pending, while backing off, or if none is candidates
     * to ask.
     */
    Optional<InstanceId> nextLender(List<InstanceId> peers, long now) {
        if (pendingLender.isPresent() || now < backOffUntil) {
            return Optional.empty();
        }
        Optional<InstanceId> chosen = selectLender(peers);
        if (chosen.isEmpty()) {
            // Without a back-off every entry would ask all others for each request of an account far above its rate.
            backOffUntil = now + backOffNanos;
            askedLenders.clear();
            return Optional.empty();
        }
        askedLenders.add(chosen.get());
        pendingLender = chosen;
        requestNumber++;
        requestedAt = now;
        return chosen;
    }

    private Optional<InstanceId> selectLender(List<InstanceId> peers) {
        if (askedLenders.size() >= MAX_LENDERS_PER_ROUND) {
            return Optional.empty();
        }
        if (lastLender.isPresent() && !askedLenders.contains(lastLender.get()) && peers.contains(lastLender.get())) {
            return lastLender;
        }
        List<InstanceId> candidates = new ArrayList<>(peers);
        candidates.removeAll(askedLenders);
        return candidates.isEmpty() ? Optional.empty() : Optional.of(candidates.get(random.nextInt(candidates.size())));
    }

    /** Accepts the answer to the pending request; false if it is late, repeated, or from another entry. */
    boolean acceptAnswer(InstanceId peer, Loan loan) {
        if (!pendingLender.equals(Optional.of(peer)) || loan.number() != requestNumber) {
            return false;
        }
        pendingLender = Optional.empty();
        if (loan.tokens() > 0) {
            lastLender = Optional.of(peer);
        }
        return true;
    }

    /** Drops the pending request if it has timed out. */
    void expireOverdue(long now) {
        if (pendingLender.isPresent() && now >= answerDeadline()) {
            pendingLender = Optional.empty();
        }
    }

    /** Ends the round, as no request waits for budget; all entries may be asked again. */
    void endRound() {
        askedLenders.clear();
    }
}
