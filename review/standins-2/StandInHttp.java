import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Reads HTTP/1.1 messages from a connection. Confined to the thread of its connection. */
final class StandInHttp {

    private final InputStream input;

    StandInHttp(InputStream input) {
        this.input = new BufferedInputStream(input);
    }

    /** A header field as it was received. */
    record Field(String name, String value) {}

    /**
     * A message with its whole body.
     *
     * @param startLine the request or status line
     * @param fields the header fields in order
     * @param body the body
     * @param whole false if the connection ended before the body did
     */
    record Message(String startLine, List<Field> fields, byte[] body, boolean whole) {

        Optional<String> first(String name) {
            return fields.stream()
                    .filter(field -> field.name().equalsIgnoreCase(name))
                    .map(Field::value)
                    .findFirst();
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads the next message; empty if the connection has ended before its first byte. */
    Optional<Message> read(boolean response) throws IOException {
        Optional<String> startLine = line();
        if (startLine.isEmpty()) {
            return Optional.empty();
        }
        List<Field> fields = new ArrayList<>();
        for (String line = line().orElseThrow(EOFException::new);
                !line.isEmpty();
                line = line().orElseThrow(EOFException::new)) {
            int colon = line.indexOf(':');
            fields.add(new Field(line.substring(0, colon), line.substring(colon + 1).trim()));
        }
        Message head = new Message(startLine.get(), fields, new byte[0], true);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean whole;
        try {
            whole = readBody(head, response, body);
        } catch (IOException broken) {
            whole = false;
        }
        return Optional.of(new Message(startLine.get(), fields, body.toByteArray(), whole));
    }

    private boolean readBody(Message head, boolean response, ByteArrayOutputStream body) throws IOException {
        boolean chunked = head.first("Transfer-Encoding")
                .filter(value -> value.toLowerCase(Locale.ROOT).contains("chunked"))
                .isPresent();
        if (chunked) {
            return readChunks(body);
        }
        Optional<String> length = head.first("Content-Length");
        if (length.isPresent()) {
            byte[] bytes = input.readNBytes(Integer.parseInt(length.get()));
            body.writeBytes(bytes);
            return bytes.length == Integer.parseInt(length.get());
        }
        if (response && head.status() != 204 && head.status() != 304) {
            body.writeBytes(input.readAllBytes());
        }
        return true;
    }

    private boolean readChunks(ByteArrayOutputStream body) throws IOException {
        while (true) {
            Optional<String> size = line();
            if (size.isEmpty()) {
                return false;
            }
            int length = Integer.parseInt(size.get().split(";")[0].trim(), 16);
            byte[] bytes = input.readNBytes(length);
            body.writeBytes(bytes);
            if (bytes.length < length || line().isEmpty()) {
                return false;
            }
            if (length == 0) {
                return true;
            }
        }
    }

    private Optional<String> line() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = input.read(); next >= 0; next = input.read()) {
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return Optional.of(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
            }
            line.write(next);
        }
        return Optional.empty();
    }
}
