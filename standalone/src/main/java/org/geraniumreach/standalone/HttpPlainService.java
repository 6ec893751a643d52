package org.geraniumreach.standalone;

import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;

import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.Names;
import org.geraniumreach.ports.PlainService;
import org.geraniumreach.ports.PlatformException;

/**
 * Calls a plain service's worker over HTTP.
 *
 * <p>Safe for use by several threads.
 */
final class HttpPlainService implements PlainService {

    private final HttpTransport transport;

    HttpPlainService(HttpTransport transport) {
        this.transport = transport;
    }

    @Override
    public byte[] call(AttemptId attempt, AccountId account, String operation, byte[] body) throws PlatformException {
        Names.requireName("operation", operation);
        HttpRequest request = transport
                .request("/v1/operations/" + operation)
                .header("Content-Type", "application/json")
                .header("X-Attempt", attempt.value())
                .header("X-Account", account.value())
                .POST(BodyPublishers.ofByteArray(body))
                .build();
        return transport.call(request);
    }
}
