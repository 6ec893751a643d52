package org.geraniumreach.gateway.stream;

import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.model.AccountId;

/**
 * Identifies a stream by the attempt of a caller that began it.
 *
 * <p>Attempt ids are chosen by callers, so equal ids of different client accounts identify different streams. Invariant: the
 * id has 1 to {@value #MAXIMUM_ATTEMPT_LENGTH} characters, which bounds the memory of a record. Immutable and safe for use by
 * several threads.
 *
 * @param account the client account, empty for requests without a key
 * @param attempt the id of the attempt
 */
public record StreamKey(Optional<AccountId> account, String attempt) {

    /** The maximum length of an attempt id, in characters. */
    public static final int MAXIMUM_ATTEMPT_LENGTH = 128;

    public StreamKey {
        Objects.requireNonNull(account, "account");
        Objects.requireNonNull(attempt, "attempt");
        if (attempt.isEmpty() || attempt.length() > MAXIMUM_ATTEMPT_LENGTH) {
            throw new IllegalArgumentException("attempt id of " + attempt.length() + " characters");
        }
    }

    /**
     * Creates a key, unless the attempt id is empty or too long.
     *
     * @param account the client account, empty for requests without a key, not null
     * @param attempt the id of the attempt, not null
     * @return the key, or empty if there is none for this id, not null
     */
    public static Optional<StreamKey> of(Optional<AccountId> account, String attempt) {
        return attempt.isEmpty() || attempt.length() > MAXIMUM_ATTEMPT_LENGTH
                ? Optional.empty()
                : Optional.of(new StreamKey(account, attempt));
    }
}
