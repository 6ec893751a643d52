package org.geraniumreach.daemon.http;

import java.util.Arrays;

import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServingException;
import org.glassfish.grizzly.http.server.ErrorPageGenerator;
import org.glassfish.grizzly.http.server.Request;

/**
 * Formats the errors that Grizzly itself reports, such as a header block above the limit, as the JSON error bodies of
 * this API.
 *
 * <p>Grizzly's default page would show the caller a stack trace. Stateless and safe for use by several threads.
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
