package org.geraniumreach.httpserver;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.glassfish.grizzly.http.HttpRequestPacket;

/**
 * Finds requests whose end another reader may see elsewhere, so that a part of their bytes could be taken for a request.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class RequestFraming {

    /** The library reads no body of these, whatever their heads say. */
    private static final Set<String> METHODS_WITHOUT_BODY = Set.of("TRACE", "CONNECT");

    /** The characters of a name beside letters and digits, by RFC 9110, section 5.6.2. */
    private static final String NAME_PUNCTUATION = "!#$%&'*+-.^_`|~";

    private RequestFraming() {}

    /**
     * Finds a fault in the head of a request.
     *
     * @param request the request, not null
     * @return why the request must not be read on, empty if its framing is sound
     */
    static Optional<String> findFault(HttpRequestPacket request) {
        if (METHODS_WITHOUT_BODY.contains(request.getMethod().getMethodString())) {
            return Optional.of("a method that is not served");
        }
        for (String name : request.getHeaders().names()) {
            if (!isName(name)) {
                return Optional.of("a malformed header name");
            }
        }
        List<String> lengths = headerValues(request, "Content-Length");
        List<String> codings = headerValues(request, "Transfer-Encoding");
        if (!codings.isEmpty() && !lengths.isEmpty()) {
            return Optional.of("both a length and a transfer coding");
        }
        if (lengths.size() > 1 || codings.size() > 1) {
            return Optional.of("framing headers more than once");
        }
        if (!codings.isEmpty() && !codings.get(0).trim().equalsIgnoreCase("chunked")) {
            return Optional.of("a transfer coding other than chunked");
        }
        if (!lengths.isEmpty() && !lengths.get(0).trim().matches("\\d{1,18}")) {
            return Optional.of("a length that is no number");
        }
        return Optional.empty();
    }

    private static boolean isName(String name) {
        return !name.isEmpty() && name.chars().allMatch(RequestFraming::isNameCharacter);
    }

    private static boolean isNameCharacter(int character) {
        return character >= 'a' && character <= 'z'
                || character >= 'A' && character <= 'Z'
                || character >= '0' && character <= '9'
                || NAME_PUNCTUATION.indexOf(character) >= 0;
    }

    private static List<String> headerValues(HttpRequestPacket request, String name) {
        List<String> values = new ArrayList<>();
        request.getHeaders().values(name).forEach(values::add);
        return values;
    }
}
