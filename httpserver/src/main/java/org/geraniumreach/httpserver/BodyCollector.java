package org.geraniumreach.httpserver;

import java.io.ByteArrayOutputStream;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServingException;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.server.AddOn;
import org.glassfish.grizzly.http.server.HttpServerFilter;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.util.HttpStatus;

/**
 * Passes each request on once its body has been received whole, without blocking a thread.
 *
 * <p>A handler that read the body itself would let the decoding of a connection go on beside the request, up to the next one.
 *
 * <p>Invariants: a request is passed on once; no more bytes than the limit are kept; a request that has to be refused is passed on as soon as
 * that is known. The state of a connection is confined to the thread that reads it. Safe for use by several threads.
 */
public final class BodyCollector extends BaseFilter implements AddOn {

    private static final Attribute<RequestBody> BODIES =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(RequestBody.class.getName());

    private static final Attribute<PartialBody> PARTIAL_BODIES =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(BodyCollector.class.getName());

    private final LongSupplier maxBytes;
    private final BiConsumer<Connection<?>, HttpRequestPacket> onPartial;

    /** What has been received of the body of one request. */
    private static final class PartialBody {
        private final ByteArrayOutputStream content = new ByteArrayOutputStream();
        private boolean passedOn;

        private byte[] plus(byte[] last) {
            if (content.size() == 0) {
                return last;
            }
            content.writeBytes(last);
            return content.toByteArray();
        }
    }

    /**
     * Creates a collector.
     *
     * @param maxBytes supplies the maximum size of a body, in bytes, not null
     * @param onPartial receives the requests whose heads are passed on later, since a part of their bodies is missing, not null
     */
    public BodyCollector(LongSupplier maxBytes, BiConsumer<Connection<?>, HttpRequestPacket> onPartial) {
        this.maxBytes = Objects.requireNonNull(maxBytes, "maxBytes");
        this.onPartial = Objects.requireNonNull(onPartial, "onPartial");
    }

    /**
     * Gets the body of a request that has been passed on.
     *
     * @param request the request, not null
     * @return its body, not null
     */
    public static RequestBody bodyOf(Request request) {
        return BODIES.get(request.getRequest());
    }

    /** Adds the filter before the one that calls the handlers. */
    @Override
    public void setup(NetworkListener listener, FilterChainBuilder filters) {
        filters.add(filters.indexOfType(HttpServerFilter.class), this);
    }

    @Override
    public NextAction handleRead(FilterChainContext context) {
        HttpContent part = context.getMessage();
        HttpRequestPacket request = (HttpRequestPacket) part.getHttpHeader();
        Connection<?> connection = context.getConnection();
        Optional<PartialBody> known = Optional.ofNullable(PARTIAL_BODIES.peek(connection));
        if (part.isLast()) {
            PARTIAL_BODIES.remove(connection);
        }
        if (known.isPresent() && known.get().passedOn) {
            return context.getInvokeAction();
        }
        PartialBody body = known.orElseGet(PartialBody::new);
        Optional<ServingException> fault = findFault(request, part, body, known.isEmpty());
        if (fault.isPresent()) {
            return passOn(context, request, body, RequestBody.faulty(fault.get()));
        }
        byte[] bytes = copy(part.getContent());
        if (part.isLast()) {
            // The library releases the memory of a part behind the handler, though what follows it may lie there too.
            context.setMessage(HttpContent.builder(request).last(true).build());
            return passOn(context, request, body, RequestBody.whole(body.plus(bytes)));
        }
        body.content.writeBytes(bytes);
        if (known.isEmpty()) {
            PARTIAL_BODIES.set(connection, body);
            onPartial.accept(connection, request);
            requestBody(context, request);
        }
        return context.getStopAction();
    }

    private NextAction passOn(
            FilterChainContext context, HttpRequestPacket request, PartialBody body, RequestBody received) {
        BODIES.set(request, received);
        body.passedOn = true;
        if (!context.<HttpContent>getMessage().isLast()) {
            PARTIAL_BODIES.set(context.getConnection(), body);
        }
        return context.getInvokeAction();
    }

    private Optional<ServingException> findFault(
            HttpRequestPacket request, HttpContent part, PartialBody body, boolean first) {
        if (HttpContent.isBroken(part)) {
            return Optional.of(ServingException.notRun(ResultCode.MALFORMED_REQUEST, "the body broke off"));
        }
        Optional<String> framingFault = first ? RequestFraming.findFault(request) : Optional.empty();
        if (framingFault.isPresent()) {
            return Optional.of(ServingException.notRun(ResultCode.MALFORMED_REQUEST, framingFault.get()));
        }
        long limit = maxBytes.getAsLong();
        long received = (long) body.content.size() + part.getContent().remaining();
        if (received > limit || request.getContentLength() > limit) {
            return Optional.of(
                    ServingException.notRun(ResultCode.BODY_TOO_LARGE, "the body is above " + limit + " bytes"));
        }
        return Optional.empty();
    }

    private static byte[] copy(Buffer bytes) {
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        return copy;
    }

    /** Asks a caller that waits for that to send the body. */
    private static void requestBody(FilterChainContext context, HttpRequestPacket request) {
        if (!request.requiresAcknowledgement()) {
            return;
        }
        HttpResponsePacket response = request.getResponse();
        response.setStatus(HttpStatus.CONINTUE_100);
        response.setAcknowledgement(true);
        context.write(response);
        response.setStatus(HttpStatus.OK_200);
    }
}
