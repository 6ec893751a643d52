package org.geraniumreach.benchmarks.trial;

/**
 * The measurements of a trial; immutable.
 *
 * @param stalledShare the fraction of requests that waited for an adapter load
 * @param stallMean the mean wait for loads over all requests, in seconds
 * @param stall95 the 95th percentile of that wait, in seconds
 * @param stall99 the 99th percentile of that wait, in seconds
 * @param loadsPerThousand the number of adapter loads per thousand requests
 * @param batch the mean number of requests in a non-empty batch
 * @param adaptersPerBatch the mean number of adapters in a non-empty batch
 * @param tokensPerBusySecond the tokens that a busy engine generates per second
 * @param worstServed the smallest fraction of requested tokens served to any account that keeps to its rate
 * @param worstLatency99 the 99th percentile of that account's latency, in seconds
 * @param latency95 the 95th percentile of latency of all requests, in seconds
 * @param expiredShare the fraction of requests whose deadline passed
 */
record TrialResult(
        double stalledShare,
        double stallMean,
        double stall95,
        double stall99,
        double loadsPerThousand,
        double batch,
        double adaptersPerBatch,
        double tokensPerBusySecond,
        double worstServed,
        double worstLatency99,
        double latency95,
        double expiredShare) {}
