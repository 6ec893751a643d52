package org.geraniumreach.node;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads messages of HTTP/1.1 for targets and callers that need their own connections. Stateless and safe for use by several threads. */
final class HttpMessages {

    private static final int HEX = 16;

    private HttpMessages() {}

    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int read = in.read(); read != '\n'; read = in.read()) {
            if (read < 0) {
                throw new EOFException("the connection ends within a line");
            }
            if (read != '\r') {
                line.append((char) read);
            }
        }
        return line.toString();
    }

    static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
        }
        return headers;
    }

    /** Reads a body that has chunks or a length; without both it is empty. */
    static String readBody(InputStream in, Map<String, String> headers) throws IOException {
        StringBuilder body = new StringBuilder();
        readBodyTo(body, in, headers);
        return body.toString();
    }

    /** Appends each part of a body as soon as it is read. */
    static void readBodyTo(StringBuilder body, InputStream in, Map<String, String> headers) throws IOException {
        if (!"chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"))) {
            body.append(read(in, Integer.parseInt(headers.getOrDefault("Content-Length", "0"))));
            return;
        }
        for (int size = Integer.parseInt(readLine(in), HEX); size > 0; size = Integer.parseInt(readLine(in), HEX)) {
            body.append(read(in, size));
            readLine(in);
        }
        readLine(in);
    }

    private static String read(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("the connection ends within a body");
        }
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
