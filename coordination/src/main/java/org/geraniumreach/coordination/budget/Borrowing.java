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
final class Borrowing {

    /** How many other entries are asked before a shortage is taken for real. */
    private static final int GREATEST_ASKED = 4;

    private final RandomGenerator random;
    private final long answerNanos;
    private final long pauseNanos;
    private final Set<InstanceId> asked = new HashSet<>();
    private Optional<InstanceId> lastLender = Optional.empty();
    private Optional<InstanceId> waitingFor = Optional.empty();
    private long number;
    private long askedAt;
    private long pausedUntil = Long.MIN_VALUE;

    Borrowing(RandomGenerator random, long answerNanos) {
        this.random = random;
        // An answer to an earlier start of this process, had it the number of a later request, would be counted from
        // that request, and the loan be held here after the lender has it back.
        this.number = random.nextLong();
        this.answerNanos = answerNanos;
        this.pauseNanos = 2 * answerNanos;
    }

    boolean isUnderWay() {
        return waitingFor.isPresent();
    }

    /** Gets when the answer waited for is given up. */
    long answerLimit() {
        return askedAt + answerNanos;
    }

    long askedAt() {
        return askedAt;
    }

    long number() {
        return number;
    }

    /** Chooses whom to ask next, or nobody if all were asked, or asking just now brought nothing. */
    Optional<InstanceId> next(List<InstanceId> peers, long now) {
        if (waitingFor.isPresent() || now < pausedUntil) {
            return Optional.empty();
        }
        Optional<InstanceId> chosen = choose(peers);
        if (chosen.isEmpty()) {
            // Without a pause an account far above its rate would have every entry ask every other for each request.
            pausedUntil = now + pauseNanos;
            asked.clear();
            return Optional.empty();
        }
        asked.add(chosen.get());
        waitingFor = chosen;
        number++;
        askedAt = now;
        return chosen;
    }

    private Optional<InstanceId> choose(List<InstanceId> peers) {
        if (asked.size() >= GREATEST_ASKED) {
            return Optional.empty();
        }
        if (lastLender.isPresent() && !asked.contains(lastLender.get()) && peers.contains(lastLender.get())) {
            return lastLender;
        }
        List<InstanceId> left = new ArrayList<>(peers);
        left.removeAll(asked);
        return left.isEmpty() ? Optional.empty() : Optional.of(left.get(random.nextInt(left.size())));
    }

    /** Takes an answer; false if it is late, repeated, or from somebody else. */
    boolean answered(InstanceId peer, Loan loan) {
        if (!waitingFor.equals(Optional.of(peer)) || loan.number() != number) {
            return false;
        }
        waitingFor = Optional.empty();
        if (loan.tokens() > 0) {
            lastLender = Optional.of(peer);
        }
        return true;
    }

    /** Gives up an answer that is late. */
    void expire(long now) {
        if (waitingFor.isPresent() && now >= answerLimit()) {
            waitingFor = Optional.empty();
        }
    }

    /** Ends a round: nobody waits any more. */
    void satisfied() {
        asked.clear();
    }
}
