package org.geraniumreach.daemon.http;

import java.util.Arrays;

import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServingException;
import org.glassfish.grizzly.http.server.ErrorPageGenerator;
import org.glassfish.grizzly.http.server.Request;

/**
 * Tells of what Grizzly itself refuses, such as a header block above the limit, in the system's own form.
 *
 * <p>Grizzly's own page would show a stack trace to the caller. Stateless and safe for use by several threads.
 */
final class PlainErrorPage implements ErrorPageGenerator {

    @Override
    public String generate(Request request, int status, String reason, String description, Throwable failure) {
        ResultCode code = Arrays.stream(ResultCode.values())
                .filter(candidate -> candidate.httpStatus() == status)
                .findFirst()
                .orElse(ResultCode.MALFORMED_REQUEST);
        request.getResponse().setContentType("application/json");
        return ErrorBody.of(ServingException.notRun(code, code.meaning())).toString();
    }
}
