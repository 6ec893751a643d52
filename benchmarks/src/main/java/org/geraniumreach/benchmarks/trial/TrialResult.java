package org.geraniumreach.benchmarks.trial;

/**
 * What a trial showed; immutable.
 *
 * @param stalledShare the share of requests that waited for a load
 * @param stallMean the mean wait for loads over all requests, in seconds
 * @param stall95 its 95th percentile
 * @param stall99 its 99th percentile
 * @param loadsPerThousand the loads for a thousand requests
 * @param batch the mean number of requests in a batch that is not empty
 * @param adaptersPerBatch the mean number of adapters in it
 * @param tokensPerBusySecond the tokens that a busy engine generates in a second
 * @param worstServed the least part of what it asked for that an account within its rate got
 * @param worstLatency99 the 99th percentile of that account's latency, in seconds
 * @param latency95 the 95th percentile of latency of all requests, in seconds
 * @param expiredShare the share of requests whose deadline passed
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
