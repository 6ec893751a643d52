package org.geraniumreach.gateway.request;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class EventSplitterTest {

    @ParameterizedTest
    @CsvSource({"'id: 7\ndata: x\n\n', 7", "'data: x\r\nid:12\r\n\r\n', 12", "'x-weight-versions: 2\nid: 3\n\n', 3"})
    void tellsTheNumberOfAnEvent(String bytes, long number) {
        List<EventSplitter.Event> events = new EventSplitter().split(bytes.getBytes(StandardCharsets.UTF_8));
        assertThat(events).hasSize(1);
        assertThat(events.get(0).number()).hasValue(number);
    }

    // A caller would get half an event, and then the same event whole from another target.
    @Property
    void handsOutWholeEventsOnlyHoweverTheBytesCome(@ForAll @IntRange(min = 1, max = 40) int size) {
        String stream = "id: 1\ndata: a\n\n: comment\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: ";
        EventSplitter splitter = new EventSplitter();
        StringBuilder out = new StringBuilder();
        byte[] bytes = stream.getBytes(StandardCharsets.UTF_8);
        for (int from = 0; from < bytes.length; from += size) {
            byte[] part = Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + size));
            splitter.split(part).forEach(event -> out.append(new String(event.bytes(), StandardCharsets.UTF_8)));
        }
        assertThat(out.toString()).isEqualTo("id: 1\ndata: a\n\n: comment\n\nid: 2\r\ndata: b\r\n\r\n");
        assertThat(splitter.hasIncompleteEvent()).isTrue();
    }
}
