package org.geraniumreach.standins.load;

/**
 * How requests stalled on loads of adapters.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param requests the requests that the entries measured
 * @param stalledShare the part of them that waited longer than the histogram's least bound
 * @param boundMillis95 the histogram's bound below which 95 in 100 waited, its greatest if they waited longer
 * @param boundMillis99 the same for 99 in 100
 * @param loads the adapters that the weight store delivered
 * @param loadsPerThousand the same for each thousand requests
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
