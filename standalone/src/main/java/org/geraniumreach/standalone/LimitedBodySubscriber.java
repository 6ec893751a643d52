package org.geraniumreach.standalone;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.http.HttpResponse.BodySubscriber;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;

/**
 * Collects a response body up to a size limit.
 *
 * <p>An endless response could otherwise exhaust the process's small memory. Above the limit the connection is closed
 * and the call fails. Invariant: buffers at most the limit. The HTTP client calls it from one thread at a time.
 */
final class LimitedBodySubscriber implements BodySubscriber<byte[]> {

    private final int maximumBytes;
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();
    private final CompletableFuture<byte[]> result = new CompletableFuture<>();
    private Flow.Subscription subscription;

    LimitedBodySubscriber(int maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    @Override
    public CompletionStage<byte[]> getBody() {
        return result;
    }

    @Override
    public void onSubscribe(Flow.Subscription newSubscription) {
        subscription = newSubscription;
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(List<ByteBuffer> buffers) {
        for (ByteBuffer buffer : buffers) {
            if (received.size() + buffer.remaining() > maximumBytes) {
                subscription.cancel();
                result.completeExceptionally(new IOException("answer above " + maximumBytes + " bytes"));
                return;
            }
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            received.write(bytes, 0, bytes.length);
        }
    }

    @Override
    public void onError(Throwable failure) {
        result.completeExceptionally(failure);
    }

    @Override
    public void onComplete() {
        result.complete(received.toByteArray());
    }
}
