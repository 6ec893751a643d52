package org.geraniumreach.gateway.stream;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.LongPredicate;

import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.gateway.port.PendingAnswers;

/**
 * The requests to other entries for the origin of one stream.
 *
 * <p>Invariant: the callback is called at most once, with the first answer that names an origin, or once none can any more, and
 * not after {@link #cancel}. Confined to the event loop.
 */
final class OriginLookup {

    /** Several round trips between regions, and far below the time after which callers leave. */
    static final Duration TIMEOUT = Duration.ofMillis(300);

    private final PendingAnswers<OriginAnswer> pending;
    private final Consumer<OriginAnswer> callback;
    private final List<Cancellable> requests = new ArrayList<>();
    private OriginAnswer.Source unknownBecause = OriginAnswer.Source.NOT_KNOWN;
    private int unanswered;
    private boolean ended;

    OriginLookup(PendingAnswers<OriginAnswer> pending, Consumer<OriginAnswer> callback) {
        this.pending = Objects.requireNonNull(pending, "pending");
        this.callback = Objects.requireNonNull(callback, "callback");
    }

    /** Sends a request, given its number; not counted if the sender returns that the entry cannot be reached. */
    void request(LongPredicate sender) {
        long number = pending.nextNumber();
        if (sender.test(number)) {
            unanswered++;
            requests.add(pending.add(
                    number, TIMEOUT, OriginAnswer.unknown(OriginAnswer.Source.NOT_ANSWERED), this::onAnswer));
        }
    }

    /** Called after the last request; ends the lookup if none could be sent. */
    void awaitAnswers() {
        if (unanswered == 0) {
            end(OriginAnswer.unknown(OriginAnswer.Source.NOT_ANSWERED));
        }
    }

    private void onAnswer(OriginAnswer answer) {
        unanswered--;
        if (answer.source() == OriginAnswer.Source.NOT_ANSWERED) {
            unknownBecause = OriginAnswer.Source.NOT_ANSWERED;
        }
        if (answer.origin().isPresent()) {
            end(answer);
        } else if (unanswered == 0) {
            end(OriginAnswer.unknown(unknownBecause));
        }
    }

    private void end(OriginAnswer answer) {
        if (!ended) {
            cancel();
            callback.accept(answer);
        }
    }

    void cancel() {
        ended = true;
        requests.forEach(Cancellable::cancel);
    }
}
