package org.geraniumreach.httpclient;

import java.util.List;
import java.util.Objects;

import org.geraniumreach.model.Header;

/**
 * A request that is sent unchanged, except that framing headers and a missing {@code Host} are added.
 *
 * <p>Immutable and safe for use by several threads, provided that the body is not modified.
 *
 * @param method the method
 * @param uri the path and query, exactly as they are sent
 * @param headers the headers, without framing headers
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
