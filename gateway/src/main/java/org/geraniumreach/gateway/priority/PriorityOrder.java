package org.geraniumreach.gateway.priority;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
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
        private final List<Entry<T>> left = new ArrayList<>();
        private final double[] classUsage = new double[CLASSES];
        private double credit;

        private Selection(PriorityOrder order, List<Candidate<T>> candidates, long now) {
            this.order = order;
            this.credit = order.credit;
            for (int urgency = 0; urgency < CLASSES; urgency++) {
                classUsage[urgency] = order.classUsage.get(urgency).at(now);
            }
            Map<Optional<AccountId>, ForeseenUsage> accounts = new HashMap<>();
            for (Candidate<T> candidate : candidates) {
                ForeseenUsage usage = accounts.computeIfAbsent(
                        candidate.priority().account(),
                        account -> new ForeseenUsage(order.usage.relativeUsage(candidate.priority(), now)));
                left.add(new Entry<>(candidate, usage));
            }
        }

        /** The usage of an account over its weight after the foreseen starts. */
        private static final class ForeseenUsage {

            private double value;

            private ForeseenUsage(double value) {
                this.value = value;
            }
        }

        private record Entry<T>(Candidate<T> candidate, ForeseenUsage usage) {

            private int urgency() {
                return candidate.urgency();
            }

            private boolean precedes(Entry<T> other) {
                if (urgency() != other.urgency()) {
                    return urgency() < other.urgency();
                }
                if (candidate.inTime() != other.candidate.inTime()) {
                    return candidate.inTime();
                }
                if (usage.value != other.usage.value) {
                    return usage.value < other.usage.value;
                }
                return candidate.deadline() < other.candidate.deadline();
            }
        }

        /**
         * Returns the candidate that starts next.
         *
         * @return the candidate, empty if none is left, not null
         */
        public Optional<Candidate<T>> next() {
            List<Entry<T>> firstOfClass = firstOfEachClass();
            return firstOfClass.stream()
                    .skip(1)
                    .min(Comparator.comparingDouble(entry -> classUsage[entry.urgency()]))
                    .filter(entry -> credit
                            >= Math.min(order.maximumCredit, entry.candidate().cost()) - TOLERANCE)
                    .or(() -> firstOfClass.stream().findFirst())
                    .map(Entry::candidate);
        }

        /** Returns the first of each class that waits, the most urgent class first. */
        private List<Entry<T>> firstOfEachClass() {
            List<Entry<T>> first = new ArrayList<>(Collections.nCopies(CLASSES, null));
            for (Entry<T> entry : left) {
                Entry<T> other = first.get(entry.urgency());
                if (other == null || entry.precedes(other)) {
                    first.set(entry.urgency(), entry);
                }
            }
            first.removeIf(Objects::isNull);
            return first;
        }

        /**
         * Returns the most urgent candidate.
         *
         * @return the candidate, empty if none is left, not null
         */
        public Optional<Candidate<T>> first() {
            return left.stream()
                    .reduce((first, other) -> other.precedes(first) ? other : first)
                    .map(Entry::candidate);
        }

        /**
         * Returns the last candidate of the least urgent class.
         *
         * @return the candidate, empty if none is left, not null
         */
        public Optional<Candidate<T>> last() {
            return left.stream()
                    .reduce((last, other) -> other.precedes(last) ? last : other)
                    .map(Entry::candidate);
        }

        /**
         * Foresees the start of a candidate.
         *
         * @param candidate the candidate, one of those that are left, not null
         */
        public void start(Candidate<T> candidate) {
            int mostUrgent = left.stream().mapToInt(Entry::urgency).min().orElse(candidate.urgency());
            credit = order.creditAfter(candidate, mostUrgent, credit);
            classUsage[candidate.urgency()] += candidate.cost();
            remove(candidate)
                    .ifPresent(entry ->
                            entry.usage().value += candidate.cost() / order.usage.weight(candidate.priority()));
        }

        /**
         * Removes a candidate that will not start.
         *
         * @param candidate the candidate, not null
         */
        public void drop(Candidate<T> candidate) {
            remove(candidate);
        }

        private Optional<Entry<T>> remove(Candidate<T> candidate) {
            for (int index = 0; index < left.size(); index++) {
                if (left.get(index).candidate() == candidate) {
                    return Optional.of(left.remove(index));
                }
            }
            return Optional.empty();
        }
    }
}
