package org.geraniumreach.httpserver;

import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.model.ServingException;

/**
 * The body of a request, or why it was not received.
 *
 * <p>Immutable, as long as nobody changes the bytes, and safe for use by several threads.
 *
 * @param bytes all bytes of the body, empty if there is a fault
 * @param fault why the request has to be refused, empty if its body has been received whole
 */
public record RequestBody(byte[] bytes, Optional<ServingException> fault) {

    private static final byte[] NO_BYTES = {};

    public RequestBody {
        Objects.requireNonNull(bytes, "bytes");
        Objects.requireNonNull(fault, "fault");
    }

    static RequestBody whole(byte[] bytes) {
        return new RequestBody(bytes, Optional.empty());
    }

    static RequestBody faulty(ServingException fault) {
        return new RequestBody(NO_BYTES, Optional.of(fault));
    }
}
