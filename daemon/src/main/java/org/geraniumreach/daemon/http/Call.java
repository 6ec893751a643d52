package org.geraniumreach.daemon.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.geraniumreach.daemon.event.EventLog;
import org.geraniumreach.httpserver.CallerWatch;
import org.geraniumreach.httpserver.RequestGate;
import org.geraniumreach.model.EventCode;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServingException;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/**
 * One HTTP request of a caller or an operator, whose body has been read completely, and its response.
 *
 * <p>Invariant: a call is answered at most once; further answers are ignored. Safe for use by several threads.
 */
public final class Call {

    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    private static final String BEARER_PREFIX = "Bearer ";

    private final Request request;
    private final Response response;
    private final byte[] body;
    private final List<String> parameters;
    private final RequestGate gate;
    private final Runnable onFinished;
    private final AtomicBoolean answered = new AtomicBoolean();
    private final List<CallerWatch> callerWatches = new CopyOnWriteArrayList<>();

    Call(
            Request request,
            Response response,
            byte[] body,
            List<String> parameters,
            RequestGate gate,
            Runnable onFinished) {
        this.request = request;
        this.response = response;
        this.body = body;
        this.parameters = List.copyOf(parameters);
        this.gate = gate;
        this.onFinished = onFinished;
    }

    /**
     * Gets a path parameter.
     *
     * @param index the index among the parameters of the route, from 0
     * @return the path segment, not null
     */
    public String parameter(int index) {
        return parameters.get(index);
    }

    /**
     * Finds a query parameter.
     *
     * @param name the name, not null
     * @return the value, or empty if absent
     */
    public Optional<String> query(String name) {
        return Optional.ofNullable(request.getParameter(name));
    }

    /**
     * Finds a request header.
     *
     * @param name the name, not null
     * @return the value, or empty if absent
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(request.getHeader(name));
    }

    /**
     * Finds the bearer token of the Authorization header.
     *
     * @return the token, or empty if there is none
     */
    public Optional<String> bearerToken() {
        return header("Authorization")
                .filter(value -> value.regionMatches(true, 0, BEARER_PREFIX, 0, BEARER_PREFIX.length()))
                .map(value -> value.substring(BEARER_PREFIX.length()).trim())
                .filter(secret -> !secret.isEmpty());
    }

    /**
     * Gets the body.
     *
     * @return the bytes, which must not be modified
     */
    public byte[] body() {
        return body;
    }

    /**
     * Reads the body as a JSON object.
     *
     * @return the object, not null
     * @throws ServingException if the body is not a JSON object
     */
    public JsonNode json() throws ServingException {
        JsonNode node;
        try {
            node = MAPPER.readTree(body);
        } catch (JsonProcessingException malformed) {
            throw ServingException.notRun(
                    ResultCode.MALFORMED_REQUEST, "the body is not JSON: " + malformed.getOriginalMessage());
        } catch (IOException impossible) {
            throw new IllegalStateException("reading from memory failed", impossible);
        }
        if (node == null || !node.isObject()) {
            throw ServingException.notRun(ResultCode.MALFORMED_REQUEST, "the body must be a JSON object");
        }
        return node;
    }

    /**
     * Answers with JSON.
     *
     * @param status the HTTP status
     * @param json the JSON, not null
     */
    public void reply(int status, JsonNode json) {
        reply(status, "application/json", json.toString().getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Answers with a body of the given type.
     *
     * @param status the HTTP status
     * @param contentType the content type, not null
     * @param content the bytes, not null
     */
    public void reply(int status, String contentType, byte[] content) {
        if (!answered.compareAndSet(false, true)) {
            return;
        }
        response.setStatus(status);
        response.setContentType(contentType);
        response.setContentLength(content.length);
        try {
            response.getNIOOutputStream().write(content);
        } catch (IOException disconnected) {
            // The caller has disconnected; finishing the response below releases its resources.
            EventLog.write(
                    EventCode.REQUEST_REFUSED,
                    "the caller disconnected before its response was written: {}",
                    disconnected);
        }
        finish();
    }

    /**
     * Answers with an error.
     *
     * @param failure the error, not null
     */
    public void fail(ServingException failure) {
        failure.retryAfter()
                .ifPresent(
                        delay -> response.setHeader("Retry-After", Long.toString(ErrorBody.retryAfterSeconds(delay))));
        reply(failure.code().httpStatus(), ErrorBody.of(failure));
    }

    /**
     * Sets a response header; must be called before the call is answered.
     *
     * @param name the name, not null
     * @param value the value, not null
     */
    public void setHeader(String name, String value) {
        response.setHeader(name, value);
    }

    /**
     * Answers with a stream of server-sent events.
     *
     * @return the stream, or empty if the call has been answered already
     */
    public Optional<EventStream> stream() {
        if (!answered.compareAndSet(false, true)) {
            return Optional.empty();
        }
        response.setStatus(ResultCode.OK.httpStatus());
        response.setContentType("text/event-stream");
        response.setHeader("Cache-Control", "no-cache");
        return Optional.of(new EventStream(response, this::finish));
    }

    /**
     * Registers an action to run if the caller disconnects before the answer is finished.
     *
     * @param action the action, run at most once, not null
     */
    public void onCallerGone(Runnable action) {
        callerWatches.add(CallerWatch.start(request.getRequest().getConnection(), action));
    }

    private void finish() {
        callerWatches.forEach(CallerWatch::stop);
        gate.resume(request.getRequest().getConnection(), () -> {
            try {
                if (response.isSuspended()) {
                    response.resume();
                }
            } finally {
                onFinished.run();
            }
        });
    }
}
