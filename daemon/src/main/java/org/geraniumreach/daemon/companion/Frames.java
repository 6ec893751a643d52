package org.geraniumreach.daemon.companion;

import com.google.protobuf.ByteString;
import org.geraniumreach.messages.Accepted;
import org.geraniumreach.messages.Chunk;
import org.geraniumreach.messages.End;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.Refused;
import org.geraniumreach.messages.Sealed;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.ServingException;

/**
 * Creates the frames that a companion replies with.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class Frames {

    private Frames() {}

    static Frame accepted(AttemptId attempt, long incarnation) {
        return Frame.newBuilder()
                .setAccepted(Accepted.newBuilder().setAttempt(attempt.value()).setCompanionIncarnation(incarnation))
                .build();
    }

    static Frame refused(AttemptId attempt, ServingException refusal) {
        return Frame.newBuilder()
                .setRefused(Refused.newBuilder()
                        .setAttempt(attempt.value())
                        .setCode(refusal.code().number())
                        .setMessage(refusal.getMessage())
                        .setRan(refusal.executionStatus().ordinal())
                        .setRetryAfterMillis(refusal.retryAfter()
                                .map(delay -> delay.toMillis())
                                .orElse(0L)))
                .build();
    }

    static Frame end(End end) {
        return Frame.newBuilder().setEnd(end).build();
    }

    static Frame sealed(AttemptId attempt, AttemptTable.KnownState state, long incarnation) {
        return Frame.newBuilder()
                .setSealed(Sealed.newBuilder()
                        .setAttempt(attempt.value())
                        .setState(stateNumber(state))
                        .setCompanionIncarnation(incarnation))
                .build();
    }

    static Frame sealedByOtherIncarnation(AttemptId attempt, long incarnation) {
        return Frame.newBuilder()
                .setSealed(Sealed.newBuilder()
                        .setAttempt(attempt.value())
                        .setState(OTHER_INCARNATION)
                        .setCompanionIncarnation(incarnation))
                .build();
    }

    private static final int NEVER_STARTED = 0;
    private static final int STARTED = 1;
    private static final int ENDED = 2;
    private static final int OTHER_INCARNATION = 3;
    private static final int TOO_OLD = 4;

    private static int stateNumber(AttemptTable.KnownState state) {
        return switch (state) {
            case NEVER_STARTED -> NEVER_STARTED;
            case WAITING, STARTED -> STARTED;
            case ENDED -> ENDED;
            case FORGOTTEN -> TOO_OLD;
        };
    }

    static Chunk chunk(AttemptId attempt, long sequence, ByteString payload, int tokens) {
        return Chunk.newBuilder()
                .setAttempt(attempt.value())
                .setSequence(sequence)
                .setPayload(payload)
                .setTokens(tokens)
                .build();
    }
}
