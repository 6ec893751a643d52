package org.geraniumreach.standalone;

import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodySubscriber;
import java.time.Duration;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

import org.geraniumreach.ports.ModelEngine.EngineListener;
import org.geraniumreach.ports.ModelEngine.EngineStream;
import org.geraniumreach.ports.PlatformException;
import org.geraniumreach.ports.PlatformException.Effect;
import org.geraniumreach.ports.PlatformException.Reason;

/**
 * A stream that an engine sends as an HTTP response.
 *
 * <p>An idle engine sends empty lines, so a connection without any byte within the silence limit is treated as dead. It
 * is closed, and the caller may resume the stream on a new one. Time during which a slow listener prevents reading from
 * the connection is not counted.
 *
 * <p>Safe for use by several threads; the listener is called by one thread at a time.
 */
final class HttpEngineStream implements EngineStream {

    private static final int SILENCE_CHECKS_PER_LIMIT = 4;

    private final HttpTransport transport;
    private final HttpRequest request;
    private final UnaryOperator<PlatformException> failureMapper;
    private final Duration silenceLimit;
    private final EngineStreamReader reader;
    private HttpClient client;
    private CompletableFuture<HttpResponse<byte[]>> call;
    private ScheduledFuture<?> silenceCheck;

    private HttpEngineStream(
            HttpTransport transport,
            HttpRequest request,
            long nextSequence,
            UnaryOperator<PlatformException> failureMapper,
            Duration silenceLimit,
            EngineListener listener) {
        this.transport = transport;
        this.request = request;
        this.failureMapper = failureMapper;
        this.silenceLimit = silenceLimit;
        this.reader = new EngineStreamReader(nextSequence, listener);
    }

    static HttpEngineStream open(
            HttpTransport transport,
            HttpRequest request,
            long nextSequence,
            UnaryOperator<PlatformException> failureMapper,
            Duration silenceLimit,
            ScheduledExecutorService timer,
            EngineListener listener) {
        HttpEngineStream stream =
                new HttpEngineStream(transport, request, nextSequence, failureMapper, silenceLimit, listener);
        stream.start(timer);
        return stream;
    }

    private synchronized void start(ScheduledExecutorService timer) {
        client = transport.currentClient();
        long interval = Math.max(1, silenceLimit.toMillis() / SILENCE_CHECKS_PER_LIMIT);
        silenceCheck = timer.scheduleWithFixedDelay(this::checkSilence, interval, interval, TimeUnit.MILLISECONDS);
        call = client.sendAsync(request, this::bodySubscriber);
        call.whenComplete(this::onCompleted);
    }

    private BodySubscriber<byte[]> bodySubscriber(HttpResponse.ResponseInfo response) {
        if (response.statusCode() != 200) {
            return new LimitedBodySubscriber(EngineStreamReader.MAXIMUM_LINE_BYTES);
        }
        return reader;
    }

    private void onCompleted(HttpResponse<byte[]> response, Throwable failure) {
        cancelSilenceCheck();
        if (failure instanceof CancellationException) {
            return;
        }
        if (failure != null) {
            transport.discard(client());
            Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
            reader.fail(failureMapper.apply(HttpTransport.failure(request, cause)));
            return;
        }
        if (response.statusCode() != 200) {
            reader.fail(failureMapper.apply(HttpTransport.errorAnswer(request, response)));
            return;
        }
        reader.fail(new PlatformException(Effect.UNKNOWN, Reason.NO_ANSWER, "stream ended without its end", null));
    }

    private void checkSilence() {
        if (reader.silentNanos() < silenceLimit.toNanos()) {
            return;
        }
        cancelSilenceCheck();
        transport.discard(client());
        reader.fail(new PlatformException(
                Effect.UNKNOWN,
                Reason.NO_ANSWER,
                "engine silent for " + silenceLimit.toMillis() + " ms: "
                        + request.uri().getAuthority(),
                null));
        call().cancel(true);
    }

    private synchronized HttpClient client() {
        return client;
    }

    private synchronized CompletableFuture<HttpResponse<byte[]>> call() {
        return call;
    }

    private synchronized void cancelSilenceCheck() {
        silenceCheck.cancel(false);
    }

    @Override
    public void request(int chunks) {
        reader.request(chunks);
    }

    @Override
    public void detach() {
        cancelSilenceCheck();
        reader.detach();
        call().cancel(true);
    }
}
