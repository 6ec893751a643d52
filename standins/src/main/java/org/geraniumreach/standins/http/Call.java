package org.geraniumreach.standins.http;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.glassfish.grizzly.http.server.Request;

/**
 * One call to a stand-in, its body read whole.
 *
 * <p>Used by one thread at a time.
 */
public final class Call {

    /** Reads and writes JSON. */
    public static final ObjectMapper JSON = new ObjectMapper();

    private final Request request;
    private final byte[] body;

    private Call(Request request, byte[] body) {
        this.request = request;
        this.body = body;
    }

    static Call read(Request request) throws IOException {
        return new Call(request, request.getInputStream().readAllBytes());
    }

    public String method() {
        return request.getMethod().getMethodString();
    }

    public String path() {
        return request.getRequestURI();
    }

    public byte[] body() {
        return body;
    }

    /**
     * Gets what identifies the kind of call.
     *
     * @return method and path
     */
    public String route() {
        return method() + " " + path();
    }

    /**
     * Gets the rest of the path after a start.
     *
     * @param start the start, not null
     * @return the rest
     */
    public String pathAfter(String start) {
        return path().substring(start.length());
    }

    /**
     * Gets a parameter of the query.
     *
     * @param name its name, not null
     * @return its value, or empty
     */
    public Optional<String> parameter(String name) {
        return Optional.ofNullable(request.getParameter(name));
    }

    /**
     * Gets a parameter of the query that is a number.
     *
     * @param name its name, not null
     * @param otherwise the value if it is missing
     * @return the value
     */
    public long number(String name, long otherwise) {
        return parameter(name).map(Long::parseLong).orElse(otherwise);
    }

    /**
     * Gets a header.
     *
     * @param name its name, not null
     * @return its value, or empty
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(request.getHeader(name));
    }

    /**
     * Reads the body as JSON.
     *
     * @return the JSON, not null
     * @throws IOException if it is none
     */
    public JsonNode json() throws IOException {
        return JSON.readTree(body);
    }
}
