package org.geraniumreach.gateway.priority;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.geraniumreach.model.AccountId;

/**
 * The order in which waiting candidates get the capacity of a target: by urgency, then those that can be in time, then by the usage of their
 * accounts, then by deadline.
 *
 * <p>Intended for targets that are asked for up to twice their capacity, and for up to some hundred candidates: each choice compares all of
 * them.
 *
 * <p>Invariant: candidates that are chosen while more urgent ones wait get at most {@link #RESERVED_FRACTION} of the capacity and one
 * candidate more. They get that much if enough of them wait, so that no class starves; the class that has used least goes first. Confined to
 * the event loop.
 */
public final class PriorityOrder {

    /** The fraction of the capacity that is kept for the less urgent classes together. */
    public static final double RESERVED_FRACTION = 0.1;

    /** Covers the rounding errors of summed fractions. */
    private static final double TOLERANCE = 1e-9;

    private static final int CLASSES = RequestPriority.LEAST_URGENT + 1;

    private final double maximumCredit;
    private final AccountUsage usage = new AccountUsage();
    private final List<DecayedSum> classUsage = new ArrayList<>();

    /** The capacity kept for less urgent classes and not yet used; below 0 after a candidate that costs more than the maximum. */
    private double credit;

    /**
     * Creates an order of candidates without usage.
     *
     * @param maximumCredit the largest capacity that is kept while no less urgent candidate waits, above 0
     */
    public PriorityOrder(double maximumCredit) {
        if (!(maximumCredit > 0)) {
            throw new IllegalArgumentException("maximumCredit not above 0: " + maximumCredit);
        }
        this.maximumCredit = maximumCredit;
        for (int urgency = 0; urgency < CLASSES; urgency++) {
            classUsage.add(new DecayedSum(0));
        }
    }

    /**
     * A candidate for capacity.
     *
     * @param <T> the type of what waits
     * @param item what waits, not null
     * @param priority its priority, not null
     * @param inTime whether it can still be in time
     * @param deadline when it is late, in nanoseconds
     * @param cost the units of capacity that it uses, not negative
     */
    public record Candidate<T>(T item, RequestPriority priority, boolean inTime, long deadline, double cost) {

        private int urgency() {
            return priority.urgency();
        }
    }

    /**
     * Counts a candidate that has got capacity.
     *
     * @param candidate the candidate, not null
     * @param mostUrgent the smallest urgency of those that waited, the candidate included
     * @param now the current time, in nanoseconds
     */
    public void recordStart(Candidate<?> candidate, int mostUrgent, long now) {
        usage.add(candidate.priority(), candidate.cost(), now);
        classUsage.get(candidate.urgency()).add(candidate.cost(), now);
        credit = creditAfter(candidate, mostUrgent, credit);
    }

    private double creditAfter(Candidate<?> candidate, int mostUrgent, double before) {
        double used = candidate.urgency() > mostUrgent ? candidate.cost() : 0;
        return Math.min(maximumCredit, before - used + RESERVED_FRACTION * candidate.cost());
    }

    /**
     * Obtains the usage by account.
     *
     * @return the usage, which changes with each start, not null
     */
    public AccountUsage usage() {
        return usage;
    }

    /**
     * Starts a selection that foresees the starts of candidates in their order and changes nothing.
     *
     * @param <T> the type of what waits
     * @param candidates the candidates, by arrival, not null
     * @param now the current time, in nanoseconds
     * @return the selection, not null
     */
    public <T> Selection<T> select(List<Candidate<T>> candidates, long now) {
        return new Selection<>(this, candidates, now);
    }

    /**
     * The foreseen starts of candidates.
     *
     * <p>Confined to the event loop.
     *
     * @param <T> the type of what waits
     */
    public static final class Selection<T> {

        private final PriorityOrder order;
        private final List<Candidate<T>> left;
        private final Map<Optional<AccountId>, Double> accountUsage = new HashMap<>();
        private final double[] classUsage = new double[CLASSES];
        private final Comparator<Candidate<T>> comparator;
        private double credit;

        private Selection(PriorityOrder order, List<Candidate<T>> candidates, long now) {
            this.order = order;
            this.left = new ArrayList<>(candidates);
            this.credit = order.credit;
            for (int urgency = 0; urgency < CLASSES; urgency++) {
                classUsage[urgency] = order.classUsage.get(urgency).at(now);
            }
            for (Candidate<T> candidate : candidates) {
                accountUsage.computeIfAbsent(
                        candidate.priority().account(),
                        account -> order.usage.relativeUsage(candidate.priority(), now));
            }
            this.comparator = Comparator.<Candidate<T>>comparingInt(Candidate::urgency)
                    .thenComparing(candidate -> !candidate.inTime())
                    .thenComparingDouble(
                            candidate -> accountUsage.get(candidate.priority().account()))
                    .thenComparingLong(Candidate::deadline);
        }

        /**
         * Returns the candidate that starts next.
         *
         * @return the candidate, empty if none is left, not null
         */
        public Optional<Candidate<T>> next() {
            List<Optional<Candidate<T>>> firstOfClass = firstOfEachClass();
            Optional<Candidate<T>> mostUrgent =
                    firstOfClass.stream().flatMap(Optional::stream).findFirst();
            return firstOfClass.stream()
                    .flatMap(Optional::stream)
                    .skip(1)
                    .min(Comparator.comparingDouble(candidate -> classUsage[candidate.urgency()]))
                    .filter(candidate -> credit >= Math.min(order.maximumCredit, candidate.cost()) - TOLERANCE)
                    .or(() -> mostUrgent);
        }

        private List<Optional<Candidate<T>>> firstOfEachClass() {
            List<Optional<Candidate<T>>> first = new ArrayList<>();
            for (int urgency = 0; urgency < CLASSES; urgency++) {
                first.add(Optional.empty());
            }
            for (Candidate<T> candidate : left) {
                boolean precedes = first.get(candidate.urgency())
                        .map(other -> comparator.compare(candidate, other) < 0)
                        .orElse(true);
                if (precedes) {
                    first.set(candidate.urgency(), Optional.of(candidate));
                }
            }
            return first;
        }

        /**
         * Returns the most urgent candidate.
         *
         * @return the candidate, empty if none is left, not null
         */
        public Optional<Candidate<T>> first() {
            return left.stream().min(comparator);
        }

        /**
         * Returns the last candidate of the least urgent class.
         *
         * @return the candidate, empty if none is left, not null
         */
        public Optional<Candidate<T>> last() {
            return left.stream().max(comparator);
        }

        /**
         * Foresees the start of a candidate.
         *
         * @param candidate the candidate, not null
         */
        public void start(Candidate<T> candidate) {
            int mostUrgent = first().map(Candidate::urgency).orElse(candidate.urgency());
            drop(candidate);
            credit = order.creditAfter(candidate, mostUrgent, credit);
            classUsage[candidate.urgency()] += candidate.cost();
            accountUsage.merge(
                    candidate.priority().account(),
                    candidate.cost() / order.usage.weight(candidate.priority()),
                    Double::sum);
        }

        /**
         * Removes a candidate that will not start.
         *
         * @param candidate the candidate, not null
         */
        public void drop(Candidate<T> candidate) {
            left.remove(candidate);
        }
    }
}
