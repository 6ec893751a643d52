package org.geraniumreach.gateway.retry;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.geraniumreach.gateway.retry.RetryFleet.Behavior;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Counts the retries that arrive at the targets of a service from all entries together, through faults of every kind. */
class RetryFleetTest {

    private static final double REQUESTS_PER_SECOND = 120;
    private static final Duration START_TIME = Duration.ofSeconds(16);
    private static final Duration END_TIME = Duration.ofSeconds(25);

    /** A fault between a quiet start and a quiet end. */
    private enum Fault {
        LINKS_HOLD_BYTES_BACK(fleet -> {
            fleet.setBehavior(1, Behavior.PAUSED);
            fleet.advance(Duration.ofSeconds(6));
            fleet.setBehavior(1, Behavior.REJECTING);
            fleet.advance(Duration.ofSeconds(12));
            fleet.setBehavior(1, Behavior.SERVING);
        }),
        TARGETS_ARE_PAUSED_FOR_LONGER_THAN_TWO_WINDOWS(fleet -> {
            fleet.setBehavior(0.5, Behavior.PAUSED);
            fleet.advance(Duration.ofSeconds(25));
            fleet.setBehavior(0.5, Behavior.SERVING);
        }),
        ALL_TARGETS_ARE_PAUSED_REPEATEDLY(fleet -> {
            for (int pause = 0; pause < 3; pause++) {
                fleet.setBehavior(1, Behavior.PAUSED);
                fleet.advance(Duration.ofSeconds(8));
                fleet.setBehavior(1, Behavior.SERVING);
                fleet.advance(Duration.ofSeconds(3));
            }
        }),
        TRANSMISSIONS_ARE_LOST(fleet -> {
            fleet.setLossRate(0.4);
            fleet.advance(Duration.ofSeconds(30));
            fleet.setLossRate(0);
        }),
        A_FAILURE_DOMAIN_OF_TARGETS_IS_LOST_WHILE_CALLERS_REPEAT(fleet -> {
            fleet.setCallerRepeats(3);
            fleet.setBehavior(0.34, Behavior.LOST);
            fleet.advance(Duration.ofSeconds(30));
            fleet.setBehavior(0.34, Behavior.SERVING);
        }),
        ALL_TARGETS_REJECT_WHILE_CALLERS_REPEAT(fleet -> {
            fleet.setCallerRepeats(3);
            fleet.setBehavior(1, Behavior.REJECTING);
            fleet.advance(Duration.ofSeconds(25));
            fleet.setBehavior(1, Behavior.SERVING);
        }),
        ENTRIES_RESTART_WHILE_TARGETS_REJECT(fleet -> {
            fleet.setBehavior(0.9, Behavior.REJECTING);
            for (int second = 0; second < 25; second++) {
                fleet.restart(2);
                fleet.advance(Duration.ofSeconds(1));
            }
            fleet.setBehavior(0.9, Behavior.SERVING);
        }),
        ENTRIES_RESTART_WHILE_TARGETS_ARE_PAUSED(fleet -> {
            fleet.setBehavior(0.6, Behavior.PAUSED);
            for (int second = 0; second < 12; second++) {
                fleet.restart(2);
                fleet.advance(Duration.ofSeconds(1));
            }
            fleet.setBehavior(0.6, Behavior.SERVING);
        }),
        ENTRIES_ARE_REPLACED_BY_OTHERS(fleet -> {
            fleet.setBehavior(0.9, Behavior.REJECTING);
            for (int second = 0; second < 25; second++) {
                fleet.replace(1);
                fleet.advance(Duration.ofSeconds(1));
            }
            fleet.setBehavior(0.9, Behavior.SERVING);
        }),
        ONE_ENTRY_GETS_HALF_OF_THE_REQUESTS(fleet -> {
            fleet.setShareOfFirstEntry(0.5);
            fleet.setBehavior(0.6, Behavior.REJECTING);
            fleet.advance(Duration.ofSeconds(25));
            fleet.setBehavior(0.6, Behavior.SERVING);
        }),
        MOST_TARGETS_REJECT(fleet -> {
            fleet.setBehavior(0.6, Behavior.REJECTING);
            fleet.advance(Duration.ofSeconds(25));
            fleet.setBehavior(0.6, Behavior.SERVING);
        }),
        TRAFFIC_FALLS_WHILE_BYTES_ARE_HELD_BACK(fleet -> {
            fleet.setBehavior(1, Behavior.PAUSED);
            fleet.advance(Duration.ofSeconds(3));
            fleet.setRequestsPerSecond(1);
            fleet.advance(Duration.ofSeconds(3));
            fleet.setBehavior(1, Behavior.SERVING);
        }),
        TRAFFIC_BEGINS_WHILE_TARGETS_REJECT(fleet -> {
            fleet.setRequestsPerSecond(1);
            fleet.advance(Duration.ofSeconds(25));
            fleet.setBehavior(1, Behavior.REJECTING);
            fleet.setRequestsPerSecond(REQUESTS_PER_SECOND);
            fleet.advance(Duration.ofSeconds(12));
            fleet.setBehavior(1, Behavior.SERVING);
        }),
        ENTRIES_JOIN_WHILE_THE_TABLE_CANNOT_BE_READ(fleet -> {
            fleet.setRequestsPerSecond(10);
            fleet.setTableReadable(false);
            fleet.advance(Duration.ofSeconds(15));
            fleet.join(100);
            fleet.advance(Duration.ofSeconds(15));
            fleet.setBehavior(1, Behavior.REJECTING);
            fleet.setRequestsPerSecond(15);
            fleet.advance(Duration.ofSeconds(15));
            fleet.setTableReadable(true);
            fleet.setBehavior(1, Behavior.SERVING);
        });

        private final Consumer<RetryFleet> course;

        Fault(Consumer<RetryFleet> course) {
            this.course = course;
        }
    }

    static Stream<Arguments> plays() {
        return Stream.of(21, 100, 340)
                .flatMap(entries -> Stream.of(Fault.values()).map(fault -> Arguments.of(entries, fault)));
    }

    private static RetryFleet play(int entries, Fault fault) {
        RetryFleet fleet = new RetryFleet(entries, 1);
        fleet.setRequestsPerSecond(REQUESTS_PER_SECOND);
        fleet.advance(START_TIME);
        fault.course.accept(fleet);
        fleet.advance(END_TIME);
        return fleet;
    }

    /** Guards against more arrivals of retries than the service allows, whenever they were sent and whoever sent them. */
    @ParameterizedTest
    @MethodSource("plays")
    void arrivalsOfRetriesStayWithinTheLimit(int entries, Fault fault) {
        RetryFleet fleet = play(entries, fault);
        System.out.printf(
                "%d entries, %s: %d sent again, %d retries arrived, %.2f of the allowed ones, %.3f served%n",
                entries, fault, fleet.repeatedSends(), fleet.retries(), fleet.maximumUsedShare(), fleet.servedShare());
        assertThat(fleet.repeatedSends()).isPositive();
        assertThat(fleet.maximumUsedShare()).isLessThanOrEqualTo(1);
    }

    /** Guards against a budget that keeps within its limit because it gives out hardly anything. */
    @ParameterizedTest
    @EnumSource(names = {"MOST_TARGETS_REJECT", "ONE_ENTRY_GETS_HALF_OF_THE_REQUESTS"})
    void halfOfTheAllowedRetriesIsOfUse(Fault fault) {
        assertThat(play(21, fault).maximumUsedShare()).isGreaterThanOrEqualTo(0.5);
    }
}
