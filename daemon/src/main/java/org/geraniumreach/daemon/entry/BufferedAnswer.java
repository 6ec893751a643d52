package org.geraniumreach.daemon.entry;

import org.geraniumreach.daemon.http.Call;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServingException;

/**
 * Gathers an answer and gives it in one piece.
 *
 * <p>Invariant: nothing reaches the caller before the end, so a failed try can be made again from its start with {@link
 * #restart}. Confined to the call's lock.
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
    public void writePart(String part, Runnable taken) {
        text.append(part);
        taken.run();
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
        // A caller of a whole answer waits for one reply; nothing can be sent before it.
    }
}
