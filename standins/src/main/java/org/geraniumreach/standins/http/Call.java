package org.geraniumreach.standins.http;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.glassfish.grizzly.http.server.Request;

/**
 * An HTTP call to a stand-in with its complete body.
 *
 * <p>Used by one thread at a time.
 */
public final class Call {

    /** The shared JSON mapper. */
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
     * Returns the method and path.
     *
     * @return the method and path, separated by a space
     */
    public String route() {
        return method() + " " + path();
    }

    /**
     * Returns the part of the path after a prefix.
     *
     * @param prefix the prefix, which the path must start with, not null
     * @return the rest of the path
     */
    public String pathAfter(String prefix) {
        return path().substring(prefix.length());
    }

    /**
     * Returns a query parameter.
     *
     * @param name the name, not null
     * @return the value, or empty if it is missing
     */
    public Optional<String> parameter(String name) {
        return Optional.ofNullable(request.getParameter(name));
    }

    /**
     * Returns a numeric query parameter.
     *
     * @param name the name, not null
     * @param defaultValue the value to return if the parameter is missing
     * @return the value
     */
    public long number(String name, long defaultValue) {
        return parameter(name).map(Long::parseLong).orElse(defaultValue);
    }

    /**
     * Returns a request header.
     *
     * @param name the name, not null
     * @return the value, or empty if it is missing
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(request.getHeader(name));
    }

    /**
     * Parses the body as JSON.
     *
     * @return the JSON, not null
     * @throws IOException if the body is not valid JSON
     */
    public JsonNode json() throws IOException {
        return JSON.readTree(body);
    }
}
