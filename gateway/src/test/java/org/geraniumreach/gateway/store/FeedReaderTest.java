package org.geraniumreach.gateway.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.geraniumreach.gateway.port.StorePort;
import org.geraniumreach.gateway.port.StoreReply;
import org.geraniumreach.gateway.testing.VirtualTime;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FeedReaderTest {

    private static final FeedReader.Pace PACE =
            new FeedReader.Pace(Duration.ofSeconds(1), Duration.ofMillis(200), Duration.ofMillis(500));

    private final VirtualTime time = new VirtualTime();
    private final List<StorePort.Position> positions = new ArrayList<>();
    private final List<Consumer<StoreReply<StorePort.News<String>>>> replies = new ArrayList<>();
    private final List<String> news = new ArrayList<>();
    private final StoreWatch watch = new StoreWatch(time, (event, id, fields) -> {}, "");
    private int cancelled;

    @BeforeEach
    void begin() {
        FeedReader.Source<String> source = (position, reply) -> {
            positions.add(position);
            replies.add(reply);
            return () -> cancelled++;
        };
        new FeedReader<>(source, each -> news.addAll(each.items()), watch, time, PACE).read();
    }

    private void reply(StoreReply<StorePort.News<String>> reply) {
        replies.get(replies.size() - 1).accept(reply);
    }

    private static StoreReply<StorePort.News<String>> value(String item, long version) {
        return new StoreReply.Value<>(new StorePort.News<>(List.of(item), version, false));
    }

    @Test
    void readsOnFromTheVersionThatItHas() {
        reply(value("a", 7));
        time.pass(Duration.ofMillis(200));
        assertThat(positions.get(1).version()).isEqualTo(Optional.of(7L));
        assertThat(news).containsExactly("a");
    }

    // A withdrawn key would go on working: the store has dropped the change's history. All is read anew instead.
    @Test
    void readsAllAnewAfterALossOfHistory() {
        reply(value("a", 7));
        time.pass(Duration.ofMillis(200));
        reply(new StoreReply.HistoryLost<>());
        time.pass(Duration.ZERO);
        assertThat(positions.get(2).version()).isEmpty();
    }

    // An entry would never hear of a change: its connection has gone silent while new ones work. The call is given up a
    // little after the time for which the store may hold it back, and made anew.
    @Test
    void givesUpACallThatIsSilentAndMakesItAnew() {
        reply(value("a", 7));
        time.pass(Duration.ofMillis(200));
        time.pass(Duration.ofMillis(1_501));
        assertThat(cancelled).isEqualTo(1);
        assertThat(watch.isAway()).isTrue();
        time.pass(Duration.ofMillis(600));
        assertThat(positions).hasSize(3);
        reply(value("b", 8));
        assertThat(watch.isAway()).isFalse();
        assertThat(news).containsExactly("a", "b");
    }

    @Test
    void asksRarelyWhileTheStoreRefuses() {
        for (int second = 0; second < 10; second++) {
            reply(new StoreReply.Refused<>("status 503"));
            time.pass(Duration.ofMillis(500));
        }
        assertThat(positions.size()).isLessThanOrEqualTo(13);
    }
}
