package org.geraniumreach.httpclient;

import java.util.Optional;

/**
 * Decides which texts are the status of a response.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class ResponseStatus {

    private static final int DIGITS = 3;
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;

    /** No call asks for another protocol, in which what follows would be written. */
    private static final int SWITCHING_PROTOCOLS = 101;

    /** The length of a status that is shown whole, which a server could make as long as a line. */
    private static final int MAX_SHOWN_CHARACTERS = 20;

    private ResponseStatus() {}

    /**
     * Finds out why a text is no status of a response to a call.
     *
     * @param text the text, as received, not null
     * @return the reason, for logging, or empty if it is a status
     */
    static Optional<String> findFault(String text) {
        if (text.length() != DIGITS || !text.chars().allMatch(ResponseStatus::isDigit)) {
            return Optional.of("status '" + shorten(text) + "' is no number of three digits");
        }
        int status = Integer.parseInt(text);
        if (status < MIN_STATUS || status > MAX_STATUS) {
            return Optional.of("status " + text + " is none of HTTP");
        }
        return status == SWITCHING_PROTOCOLS
                ? Optional.of("status " + text + " answers a request for another protocol")
                : Optional.empty();
    }

    private static boolean isDigit(int character) {
        return character >= '0' && character <= '9';
    }

    private static String shorten(String text) {
        return text.length() <= MAX_SHOWN_CHARACTERS ? text : text.substring(0, MAX_SHOWN_CHARACTERS) + "...";
    }
}
