package org.geraniumreach.standalone;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/**
 * A path with query parameters.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param text the URL-encoded path and query
 */
record QueryPath(String text) {

    static QueryPath of(String path) {
        return new QueryPath(path);
    }

    QueryPath with(String name, Object value) {
        char separator = text.indexOf('?') < 0 ? '?' : '&';
        return new QueryPath(
                text + separator + name + '=' + URLEncoder.encode(value.toString(), StandardCharsets.UTF_8));
    }

    @Override
    public String toString() {
        return text;
    }
}
