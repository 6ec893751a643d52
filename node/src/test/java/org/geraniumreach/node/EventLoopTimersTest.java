package org.geraniumreach.node;

import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.nio.NioEventLoopGroup;
import org.geraniumreach.model.EventCode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EventLoopTimersTest {

    /** Guards against an action that fails without a line. */
    @Test
    void anActionThatFailsIsLogged() throws InterruptedException {
        BlockingQueue<EventCode> logged = new LinkedBlockingQueue<>();
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        try {
            new EventLoopTimers(group.next(), (event, subject, fields) -> logged.add(event))
                    .schedule(Duration.ofMillis(1), () -> {
                        throw new IllegalStateException("a fault");
                    });
            assertThat(logged.poll(5, TimeUnit.SECONDS)).isEqualTo(EventCode.UNEXPECTED_FAILURE);
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        }
    }
}
