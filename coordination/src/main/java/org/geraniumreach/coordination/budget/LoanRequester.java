package org.geraniumreach.coordination.budget;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.geraniumreach.model.InstanceId;

/**
 * One account's requests for loans to other entries, one at a time.
 *
 * <p>Invariant: an answer counts once, only if it is to the request under way and comes from whom was asked. Not safe for
 * use by several threads.
 */
final class LoanRequester {

    /** How many other entries are asked before a shortage is taken for real. */
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

    LoanRequester(RandomGenerator random, long answerNanos) {
        this.random = random;
        // An answer to an earlier start of this process, had it the number of a later request, would be counted from
        // that request, and the loan be held here after the lender has it back.
        this.requestNumber = random.nextLong();
        this.answerTimeoutNanos = answerNanos;
        this.backOffNanos = 2 * answerNanos;
    }

    boolean isPending() {
        return pendingLender.isPresent();
    }

    /** Gets when the answer waited for is given up. */
    long answerDeadline() {
        return requestedAt + answerTimeoutNanos;
    }

    long requestedAt() {
        return requestedAt;
    }

    long requestNumber() {
        return requestNumber;
    }

    /** Chooses whom to ask next, or nobody if all were asked, or asking just now brought nothing. */
    Optional<InstanceId> nextLender(List<InstanceId> peers, long now) {
        if (pendingLender.isPresent() || now < backOffUntil) {
            return Optional.empty();
        }
        Optional<InstanceId> chosen = selectLender(peers);
        if (chosen.isEmpty()) {
            // Without a pause an account far above its rate would have every entry ask every other for each request.
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
        List<InstanceId> left = new ArrayList<>(peers);
        left.removeAll(askedLenders);
        return left.isEmpty() ? Optional.empty() : Optional.of(left.get(random.nextInt(left.size())));
    }

    /** Takes an answer; false if it is late, repeated, or from somebody else. */
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

    /** Gives up an answer that is late. */
    void expireOverdue(long now) {
        if (pendingLender.isPresent() && now >= answerDeadline()) {
            pendingLender = Optional.empty();
        }
    }

    /** Ends a round: nobody waits any more. */
    void endRound() {
        askedLenders.clear();
    }
}
