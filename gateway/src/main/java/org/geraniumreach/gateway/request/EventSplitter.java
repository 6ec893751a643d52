package org.geraniumreach.gateway.request;

import java.io.ByteArrayOutputStream;
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

    private static final byte[] ID_FIELD = {'i', 'd', ':'};

    /** More digits might not fit into a long. */
    private static final int MAXIMUM_DIGITS = 18;

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

    /** Gets the number of bytes of the incomplete event. */
    int pendingBytes() {
        return pending.size();
    }

    /** Queries whether bytes of an incomplete event are pending. */
    boolean hasIncompleteEvent() {
        return pending.size() > 0;
    }

    /** Parses the bytes without intermediate text, since this runs for each event of each stream. */
    private static OptionalLong number(byte[] event) {
        int lineStart = 0;
        for (int index = 0; index < event.length; index++) {
            if (event[index] == '\n') {
                OptionalLong number = lineNumber(event, lineStart, index);
                if (number.isPresent()) {
                    return number;
                }
                lineStart = index + 1;
            }
        }
        return OptionalLong.empty();
    }

    private static OptionalLong lineNumber(byte[] event, int from, int to) {
        if (!startsWithIdField(event, from, to)) {
            return OptionalLong.empty();
        }
        int start = from + ID_FIELD.length;
        int end = to;
        while (start < end && isBlank(event[start])) {
            start++;
        }
        while (end > start && isBlank(event[end - 1])) {
            end--;
        }
        return parseDigits(event, start, end);
    }

    private static boolean startsWithIdField(byte[] event, int from, int to) {
        return to - from >= ID_FIELD.length
                && Arrays.equals(event, from, from + ID_FIELD.length, ID_FIELD, 0, ID_FIELD.length);
    }

    private static boolean isBlank(byte character) {
        return character >= 0 && character <= ' ';
    }

    private static OptionalLong parseDigits(byte[] event, int start, int end) {
        if (end == start || end - start > MAXIMUM_DIGITS) {
            return OptionalLong.empty();
        }
        long number = 0;
        for (int index = start; index < end; index++) {
            int digit = event[index] - '0';
            if (digit < 0 || digit > 9) {
                return OptionalLong.empty();
            }
            number = 10 * number + digit;
        }
        return OptionalLong.of(number);
    }
}
