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
final class WholeAnswer implements AnswerSink {

    private final Call call;
    private final OpenAiAnswers format;
    private final StringBuilder text = new StringBuilder();

    WholeAnswer(Call call, OpenAiAnswers format) {
        this.call = call;
        this.format = format;
    }

    @Override
    public void part(String part, Runnable taken) {
        text.append(part);
        taken.run();
    }

    @Override
    public void finish(OpenAiAnswers.Usage usage, String finishReason) {
        call.reply(ResultCode.OK.httpStatus(), format.whole(text.toString(), usage, finishReason));
    }

    @Override
    public void fail(ServingException failure) {
        call.fail(failure);
    }

    @Override
    public boolean hasBegun() {
        return false;
    }

    @Override
    public void restart() {
        text.setLength(0);
    }

    @Override
    public void tick() {
        // A caller of a whole answer waits for one reply; nothing can be sent before it.
    }
}
