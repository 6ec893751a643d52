package org.geraniumreach.coordination.budget;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.geraniumreach.model.InstanceId;

/**
 * Selects the entries to ask for loans for one account and tracks the unanswered requests.
 *
 * <p>A request is pending until its answer timeout, and the next entry is asked only when none is pending. After the
 * timeout its answer is still accepted for as long as the loan could last, because the lender has set the tokens aside.
 *
 * <p>Invariants: an answer is accepted once, and only from the entry asked; an entry has at most one unanswered request.
 * Not safe for use by several threads.
 */
final class LoanRequester {

    /** The number of entries to ask before concluding that no budget can be borrowed. */
    private static final int MAX_LENDERS_PER_ROUND = 4;

    private final RandomGenerator random;
    private final long answerTimeoutNanos;
    private final long loanDurationNanos;
    private final long backOffNanos;
    private final Set<InstanceId> askedLenders = new HashSet<>();
    private final List<SentRequest> unanswered = new ArrayList<>();
    private Optional<InstanceId> lastLender = Optional.empty();
    private long requestNumber;
    private long backOffUntil = Long.MIN_VALUE;

    /** A request that was sent to an entry. */
    private record SentRequest(long number, InstanceId lender, long sentAt) {}

    LoanRequester(RandomGenerator random, long answerTimeoutNanos, long loanDurationNanos) {
        this.random = random;
        // Starts at a random number: an answer to an earlier incarnation of this process could otherwise match a later
        // request, and the loan, timed from that request, would be spent here after the lender has reclaimed it.
        this.requestNumber = random.nextLong();
        this.answerTimeoutNanos = answerTimeoutNanos;
        this.loanDurationNanos = loanDurationNanos;
        this.backOffNanos = 2 * answerTimeoutNanos;
    }

    /** Returns whether an answer may still be accepted, late or not. */
    boolean mayReceiveLoan() {
        return !unanswered.isEmpty();
    }

    /** Gets the time when the next request times out or its answer is no longer accepted, or {@link Long#MAX_VALUE}. */
    long nextTimeout(long now) {
        return unanswered.stream()
                .mapToLong(sent -> isPending(sent, now) ? answerDeadline(sent) : acceptDeadline(sent))
                .min()
                .orElse(Long.MAX_VALUE);
    }

    private boolean isPending(SentRequest sent, long now) {
        return now < answerDeadline(sent);
    }

    private long answerDeadline(SentRequest sent) {
        return sent.sentAt() + Math.min(answerTimeoutNanos, loanDurationNanos);
    }

    private long acceptDeadline(SentRequest sent) {
        return sent.sentAt() + loanDurationNanos;
    }

    long requestNumber() {
        return requestNumber;
    }

    /**
     * Starts a request to the next entry; empty while a request is pending, while backing off, or if there is no entry
     * left to ask.
     */
    Optional<InstanceId> nextLender(List<InstanceId> peers, long now) {
        if (unanswered.stream().anyMatch(sent -> isPending(sent, now)) || now < backOffUntil) {
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
        requestNumber++;
        unanswered.add(new SentRequest(requestNumber, chosen.get(), now));
        return chosen;
    }

    private Optional<InstanceId> selectLender(List<InstanceId> peers) {
        if (askedLenders.size() >= MAX_LENDERS_PER_ROUND) {
            return Optional.empty();
        }
        List<InstanceId> candidates = new ArrayList<>(peers);
        candidates.removeAll(askedLenders);
        // A slow lender would lend the same tokens once more for each further request.
        unanswered.forEach(sent -> candidates.remove(sent.lender()));
        if (lastLender.filter(candidates::contains).isPresent()) {
            return lastLender;
        }
        return candidates.isEmpty() ? Optional.empty() : Optional.of(candidates.get(random.nextInt(candidates.size())));
    }

    /**
     * Accepts the answer to an unanswered request.
     *
     * @return the time when the request was sent; empty if the answer is too late, repeated, or from another entry
     */
    OptionalLong acceptAnswer(InstanceId peer, Loan loan) {
        Optional<SentRequest> answered = unanswered.stream()
                .filter(sent -> sent.number() == loan.number() && sent.lender().equals(peer))
                .findFirst();
        if (answered.isEmpty()) {
            return OptionalLong.empty();
        }
        unanswered.remove(answered.get());
        if (loan.tokens() > 0) {
            lastLender = Optional.of(peer);
        }
        return OptionalLong.of(answered.get().sentAt());
    }

    /** Drops the requests whose loans would have ended. */
    void expireOverdue(long now) {
        unanswered.removeIf(sent -> now >= acceptDeadline(sent));
    }

    /** Drops the requests to entries that are no longer linked, since no answer can arrive. */
    void retainLenders(List<InstanceId> peers) {
        unanswered.removeIf(sent -> !peers.contains(sent.lender()));
    }

    /** Ends the round, as no request waits for budget; all entries may be asked again. */
    void endRound() {
        askedLenders.clear();
    }
}
