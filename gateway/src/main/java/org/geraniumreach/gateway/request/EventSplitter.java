package org.geraniumreach.gateway.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;

/**
 * Splits the bytes of an event stream into complete events.
 *
 * <p>A failed target may leave a partial event behind. Only complete events are relayed, so that another target can
 * resume the stream after the last of them. Invariant: the concatenated events are the bytes received, without a
 * trailing incomplete event. Confined to the event loop.
 */
final class EventSplitter {

    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private boolean lineIsEmpty = true;

    /** A complete event including its terminating empty line, and its number if it has one. */
    record Event(byte[] bytes, OptionalLong number) {}

    /**
     * Adds received bytes.
     *
     * @param bytes the bytes, not null
     * @return the events that these bytes complete, not null
     */
    List<Event> split(byte[] bytes) {
        List<Event> events = new ArrayList<>(2);
        int start = 0;
        for (int index = 0; index < bytes.length; index++) {
            byte current = bytes[index];
            if (current == '\n') {
                if (lineIsEmpty) {
                    pending.write(bytes, start, index + 1 - start);
                    start = index + 1;
                    completeEvent(events);
                }
                lineIsEmpty = true;
            } else if (current != '\r') {
                lineIsEmpty = false;
            }
        }
        pending.write(bytes, start, bytes.length - start);
        return events;
    }

    private void completeEvent(List<Event> events) {
        byte[] event = pending.toByteArray();
        pending.reset();
        events.add(new Event(event, number(event)));
    }

    /** Queries whether bytes of an incomplete event are pending. */
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
