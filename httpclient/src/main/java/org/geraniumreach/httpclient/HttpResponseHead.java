package org.geraniumreach.httpclient;

import java.util.List;
import java.util.Optional;

import org.geraniumreach.model.Header;

/**
 * The status line and headers of a response.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param status the status code
 * @param headers the headers, in the order received
 */
public record HttpResponseHead(int status, List<Header> headers) {

    public HttpResponseHead {
        headers = List.copyOf(headers);
    }

    /**
     * Finds the first header with the given name.
     *
     * @param name the name, compared without regard to case, not null
     * @return its value, or empty if there is none
     */
    public Optional<String> firstHeader(String name) {
        for (Header header : headers) {
            if (header.hasName(name)) {
                return Optional.of(header.value());
            }
        }
        return Optional.empty();
    }

    /**
     * Gets all headers with the given name.
     *
     * @param name the name, compared without regard to case, not null
     * @return their values, in the order received, not null
     */
    public List<String> allHeaders(String name) {
        return headers.stream()
                .filter(header -> header.hasName(name))
                .map(Header::value)
                .toList();
    }
}
