package org.geraniumreach.daemon.budget;

import java.time.Duration;
import java.util.Optional;

import org.geraniumreach.coordination.budget.BorrowRequest;
import org.geraniumreach.coordination.budget.HolderRow;
import org.geraniumreach.coordination.budget.Loan;
import org.geraniumreach.coordination.budget.ShareParts;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.LoanAnswer;
import org.geraniumreach.messages.LoanRequest;
import org.geraniumreach.messages.ShareMoved;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.table.RowKey;

/**
 * Encodes and decodes the frames of loans between entries.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class LoanFrames {

    private LoanFrames() {}

    static Frame encode(BorrowRequest request) {
        return Frame.newBuilder()
                .setLoanRequest(LoanRequest.newBuilder()
                        .setNumber(request.number())
                        .setAccount(request.account().value())
                        .setTokensWanted(request.tokens())
                        .setShareWanted(request.parts())
                        .setDurationMillis(request.duration().toMillis())
                        .setDemand(request.tokensPerSecondDemanded())
                        .setShareHeld(request.heldParts())
                        .setHolder(request.holderRow().map(RowKey::key).orElse("")))
                .build();
    }

    /**
     * Decodes a loan request.
     *
     * @param request the frame's content
     * @return the request
     * @throws IllegalArgumentException if a value is out of range
     */
    static BorrowRequest decodeRequest(LoanRequest request) {
        Optional<RowKey> holder = request.getHolder().isEmpty()
                ? Optional.empty()
                : Optional.of(RowKey.of(HolderRow.TABLE, request.getHolder()));
        return new BorrowRequest(
                request.getNumber(),
                AccountId.of(request.getAccount()),
                requireTokens(request.getTokensWanted()),
                ShareParts.requireValid(request.getShareWanted()),
                toDuration(request.getDurationMillis()),
                requireTokens(request.getDemand()),
                ShareParts.requireValid(request.getShareHeld()),
                holder);
    }

    static Frame encode(Loan loan) {
        return Frame.newBuilder()
                .setLoanAnswer(LoanAnswer.newBuilder()
                        .setNumber(loan.number())
                        .setAccount(loan.account().value())
                        .setTokens(loan.tokens())
                        .setShare(loan.parts())
                        .setDurationMillis(loan.duration().toMillis()))
                .build();
    }

    /**
     * Decodes the answer to a loan request.
     *
     * @param answer the frame's content
     * @return the loan
     * @throws IllegalArgumentException if a value is out of range
     */
    static Loan decodeAnswer(LoanAnswer answer) {
        return new Loan(
                answer.getNumber(),
                AccountId.of(answer.getAccount()),
                requireTokens(answer.getTokens()),
                ShareParts.requireValid(answer.getShare()),
                toDuration(answer.getDurationMillis()));
    }

    static Frame shareMoved() {
        return Frame.newBuilder().setShareMoved(ShareMoved.getDefaultInstance()).build();
    }

    private static long requireTokens(long tokens) {
        if (tokens < 0 || tokens > ShareParts.MAX_TOKENS) {
            throw new IllegalArgumentException("tokens out of range: " + tokens);
        }
        return tokens;
    }

    private static Duration toDuration(long millis) {
        if (millis < 0) {
            throw new IllegalArgumentException("negative duration: " + millis);
        }
        return Duration.ofMillis(millis);
    }
}
