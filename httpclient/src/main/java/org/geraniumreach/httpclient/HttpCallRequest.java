package org.geraniumreach.httpclient;

import java.util.List;
import java.util.Objects;

import org.geraniumreach.model.Header;

/**
 * A request to be sent as it is; only length, {@code Host} if missing, and framing are added.
 *
 * <p>Immutable and safe for use by several threads, as long as nobody changes the body.
 *
 * @param method the method
 * @param uri the path and query, exactly as they go on the wire
 * @param headers the headers, none of which concerns framing
 * @param body the body, empty for none
 */
public record HttpCallRequest(String method, String uri, List<Header> headers, byte[] body) {

    public HttpCallRequest {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(uri, "uri");
        Objects.requireNonNull(body, "body");
        headers = List.copyOf(headers);
    }
}
