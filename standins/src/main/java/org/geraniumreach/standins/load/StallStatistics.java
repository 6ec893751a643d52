package org.geraniumreach.standins.load;

/**
 * Statistics of requests stalled on adapter loads.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param requests the number of requests measured by the entries
 * @param stalledShare the fraction of requests that waited longer than the lowest bound of the histogram
 * @param boundMillis95 the histogram bound within which 95 % of requests waited, the highest bound if they waited
 *     longer
 * @param boundMillis99 the corresponding bound for 99 % of requests
 * @param loads the number of transfers that the weight store completed
 * @param loadsPerThousand the number of transfers per thousand requests
 */
public record StallStatistics(
        double requests,
        double stalledShare,
        double boundMillis95,
        double boundMillis99,
        long loads,
        double loadsPerThousand) {

    static final StallStatistics NONE = new StallStatistics(0, 0, 0, 0, 0, 0);

    static StallStatistics of(LoadWaits waits, long loads) {
        double requests = waits.requests();
        return new StallStatistics(
                requests,
                waits.stalledShare(),
                waits.boundMillis(0.95),
                waits.boundMillis(0.99),
                loads,
                requests == 0 ? 0 : 1000 * loads / requests);
    }
}
