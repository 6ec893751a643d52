package org.geraniumreach.standins.load;

import java.util.List;
import java.util.Map;

/**
 * The results of one client account in a run.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param account the client account
 * @param sent the number of requests sent
 * @param served the number of complete and correct answers
 * @param refused the number of errors that state that the request did not run
 * @param failed the number of requests without a complete answer, except refusals
 * @param wrong the number of incorrect answers
 * @param wrongfullyRefused how many fewer generations were admitted than by one central token bucket that starts full
 * @param tokens the number of tokens served, of prompts and answers
 * @param withinRate whether the tokens served are within the rate and burst over the whole run
 * @param codes the number of errors by result code
 * @param retriedCodes the number of errors by result code after which a booking was retried
 * @param firstToken the time to the first token, or to the complete answer if it is not streamed
 * @param betweenTokens the time between the parts of streamed answers
 * @param booking the time to complete a booking, including retries
 * @param details the first few distinct failures
 */
public record AccountResult(
        String account,
        int sent,
        int served,
        int refused,
        int failed,
        int wrong,
        int wrongfullyRefused,
        long tokens,
        boolean withinRate,
        Map<String, Integer> codes,
        Map<String, Integer> retriedCodes,
        LatencySummary firstToken,
        LatencySummary betweenTokens,
        LatencySummary booking,
        List<String> details) {}
