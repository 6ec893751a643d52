package org.geraniumreach.gateway.port;

import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.model.EventCode;

/** Logs failures of this software itself. Stateless and safe for use by several threads. */
public final class UnexpectedFailure {

    private UnexpectedFailure() {}

    /**
     * Logs a failure with the place where it occurred.
     *
     * @param log the decision log, not null
     * @param subject the id of the request concerned, empty if it is unknown or there is none, not null
     * @param failure the failure, not null
     */
    public static void log(DecisionLog log, String subject, RuntimeException failure) {
        StackTraceElement[] trace = failure.getStackTrace();
        log.write(
                EventCode.UNEXPECTED_FAILURE,
                subject,
                Field.of("reason", failure.toString()),
                Field.of("at", trace.length == 0 ? "" : trace[0].toString()));
    }
}
