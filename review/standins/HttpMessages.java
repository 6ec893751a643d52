import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from sockets, with bodies that have a length or come in chunks. */
final class HttpMessages {

    private static final int MAXIMUM_HEAD_BYTES = 65_536;

    private HttpMessages() {}

    /** A message: its first line, its headers by name without regard to case, and its body. */
    record Message(String firstLine, Map<String, String> headers, byte[] body) {

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String word(int index) {
            return firstLine.split(" ", 3)[index];
        }

        int status() {
            return Integer.parseInt(word(1));
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a message; null if the connection was closed before its first byte. */
    static Message read(InputStream in) throws IOException {
        String head = readHead(in);
        if (head == null) {
            return null;
        }
        String[] lines = head.split("\r\n");
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (int line = 1; line < lines.length; line++) {
            int colon = lines[line].indexOf(':');
            if (colon < 1) {
                throw new IOException("not a header: " + lines[line]);
            }
            headers.put(lines[line].substring(0, colon), lines[line].substring(colon + 1).trim());
        }
        return new Message(lines[0], headers, readBody(in, headers));
    }

    private static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int next = in.read();
            if (next < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new IOException("closed within a head");
            }
            bytes.write(next);
            boolean expected = next == (matched % 2 == 0 ? '\r' : '\n');
            matched = expected ? matched + 1 : next == '\r' ? 1 : 0;
            if (bytes.size() > MAXIMUM_HEAD_BYTES) {
                throw new IOException("a head above " + MAXIMUM_HEAD_BYTES + " bytes");
            }
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    private static byte[] readBody(InputStream in, Map<String, String> headers) throws IOException {
        if (headers.getOrDefault("Transfer-Encoding", "").equalsIgnoreCase("chunked")) {
            return readChunks(in);
        }
        int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("closed within a body");
        }
        return body;
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(readLine(in).trim(), 16);
            byte[] chunk = in.readNBytes(size);
            if (chunk.length < size) {
                throw new IOException("closed within a chunk");
            }
            body.writeBytes(chunk);
            readLine(in);
            if (size == 0) {
                return body.toByteArray();
            }
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("closed within a line");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static byte[] response(int status, String headers, String body) {
        byte[] content = body.getBytes(StandardCharsets.UTF_8);
        return ("HTTP/1.1 " + status + " -\r\n" + headers + "Content-Length: " + content.length + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.UTF_8);
    }
}
