package org.geraniumreach.httpclient;

import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;

import org.geraniumreach.model.Header;

/**
 * A request that is sent unchanged, except that framing headers and a missing {@code Host} are added, and those that depend on the time
 * of the write.
 *
 * <p>Immutable and safe for use by several threads, provided that the body is not modified.
 *
 * @param method the method
 * @param uri the path and query, exactly as they are sent
 * @param headers the headers, without framing headers
 * @param headersAtWrite supplies further headers on the event loop, just before the request is written
 * @param body the body, empty for none
 */
public record HttpCallRequest(
        String method, String uri, List<Header> headers, Supplier<List<Header>> headersAtWrite, byte[] body) {

    public HttpCallRequest {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(uri, "uri");
        Objects.requireNonNull(headersAtWrite, "headersAtWrite");
        Objects.requireNonNull(body, "body");
        headers = List.copyOf(headers);
    }

    /**
     * Creates a request whose headers do not depend on the time of the write.
     *
     * @param method the method, not null
     * @param uri the path and query, exactly as they are sent, not null
     * @param headers the headers, without framing headers, not null
     * @param body the body, empty for none, not null
     */
    public HttpCallRequest(String method, String uri, List<Header> headers, byte[] body) {
        this(method, uri, headers, List::of, body);
    }
}
