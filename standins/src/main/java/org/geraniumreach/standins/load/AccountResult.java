package org.geraniumreach.standins.load;

import java.util.List;
import java.util.Map;

/**
 * What one account got in a run.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param account the account
 * @param sent requests sent
 * @param served whole and right answers
 * @param refused errors that say that the request did not run
 * @param failed requests without their whole answer, but for refusals
 * @param wrong answers that are not those due
 * @param wrongfullyRefused how many generations fewer were let through than by one central bucket that starts full
 * @param tokens the tokens served, of prompts and answers
 * @param withinRate whether the tokens are within rate and burst over the whole run
 * @param codes the errors by name
 * @param retriedCodes the errors by name after which a booking was sent again
 * @param firstToken time to the first token, or to the whole answer if it is not streamed
 * @param betweenTokens time between the parts of streamed answers
 * @param booking time of bookings
 * @param details the first few failures
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
