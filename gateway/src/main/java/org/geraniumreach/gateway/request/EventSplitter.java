package org.geraniumreach.gateway.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;

/**
 * Cuts the bytes of an event stream into whole events.
 *
 * <p>A target that dies may leave half an event behind; only whole events are passed on, so that the stream can go on at
 * another target after the last of them. Invariant: the events handed out, joined, are the bytes that came, less what has no end yet.
 * Confined to the event loop.
 */
final class EventSplitter {

    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private boolean lineIsEmpty = true;

    /** A whole event with its empty line, and its number if it has one. */
    record Event(byte[] bytes, OptionalLong number) {}

    /**
     * Takes bytes.
     *
     * @param bytes the bytes, not null
     * @return the events that are whole now
     */
    List<Event> split(byte[] bytes) {
        List<Event> whole = new ArrayList<>(2);
        int begin = 0;
        for (int index = 0; index < bytes.length; index++) {
            byte each = bytes[index];
            if (each == '\n') {
                if (lineIsEmpty) {
                    pending.write(bytes, begin, index + 1 - begin);
                    begin = index + 1;
                    completeEvent(whole);
                }
                lineIsEmpty = true;
            } else if (each != '\r') {
                lineIsEmpty = false;
            }
        }
        pending.write(bytes, begin, bytes.length - begin);
        return whole;
    }

    private void completeEvent(List<Event> whole) {
        byte[] event = pending.toByteArray();
        pending.reset();
        whole.add(new Event(event, number(event)));
    }

    /** Queries whether bytes of an event that is not whole are left. */
    boolean hasIncompleteEvent() {
        return pending.size() > 0;
    }

    private static OptionalLong number(byte[] event) {
        String text = new String(event, StandardCharsets.ISO_8859_1);
        return Arrays.stream(text.split("\r?\n"))
                .filter(line -> line.startsWith(ID_FIELD))
                .map(line -> line.substring(ID_FIELD.length()).trim())
                .filter(value -> value.matches("\\d{1,18}"))
                .mapToLong(Long::parseLong)
                .findFirst();
    }
}
