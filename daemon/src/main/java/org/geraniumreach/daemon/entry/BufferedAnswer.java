package org.geraniumreach.daemon.entry;

import org.geraniumreach.daemon.http.Call;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServingException;

/**
 * Buffers an answer and sends it as a single response.
 *
 * <p>Invariant: nothing is sent to the caller before the end, so a failed attempt can be retried after {@link
 * #restart}. Guarded by the lock of the call.
 */
final class BufferedAnswer implements AnswerSink {

    private final Call call;
    private final OpenAiResponseWriter format;
    private final StringBuilder text = new StringBuilder();

    BufferedAnswer(Call call, OpenAiResponseWriter format) {
        this.call = call;
        this.format = format;
    }

    @Override
    public void writePart(String part, Runnable onReady) {
        text.append(part);
        onReady.run();
    }

    @Override
    public void finish(OpenAiResponseWriter.Usage usage, String finishReason) {
        call.reply(ResultCode.OK.httpStatus(), format.fullResponse(text.toString(), usage, finishReason));
    }

    @Override
    public void fail(ServingException failure) {
        call.fail(failure);
    }

    @Override
    public boolean hasSentParts() {
        return false;
    }

    @Override
    public void restart() {
        text.setLength(0);
    }

    @Override
    public void onTick() {
        // Nothing can be sent before the single response.
    }
}
