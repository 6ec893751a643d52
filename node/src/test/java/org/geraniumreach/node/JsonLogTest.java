package org.geraniumreach.node;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;

import org.geraniumreach.gateway.port.DecisionLog.Field;
import org.geraniumreach.model.EventCode;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

class JsonLogTest {

    @Test
    void writesOneJsonObjectPerLineWithNumberNameAndFields() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        JsonLog log = JsonLog.start(output, () -> 5);
        log.write(EventCode.CALLER_GONE, "r\"1", Field.of("arrivals", 2), Field.of("reason", "a\nb"));
        log.close();
        assertThat(output.toString(StandardCharsets.UTF_8))
                .isEqualTo("{\"time\":5,\"event\":4011,\"name\":\"CALLER_GONE\",\"id\":\"r\\\"1\",\"arrivals\":2,"
                        + "\"reason\":\"a\\u000ab\"}\n");
    }

    // Guards against requests that block when the reader of the log has stopped: once the buffer is full, lines are
    // dropped, and their number is logged when the output is read again.
    @Test
    void writersDoNotBlockWhenOutputIsNotRead() {
        CountDownLatch readable = new CountDownLatch(1);
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        JsonLog log = JsonLog.start(new BlockedOutputStream(output, readable), () -> 5);
        assertTimeoutPreemptively(Duration.ofSeconds(10), () -> {
            for (int line = 0; line < 3 * JsonLog.MAX_PENDING_LINES; line++) {
                log.write(EventCode.CALLER_GONE, "r");
                if (line == 0) {
                    Thread.sleep(300);
                }
            }
        });
        readable.countDown();
        log.close();
        assertThat(output.toString(StandardCharsets.UTF_8)).contains("LOG_LINES_DROPPED");
    }

    /** Guards against the lines of a request that ran twice being displaced by those of others while the log is full. */
    @Test
    void noNumberOfOtherLinesDisplacesARetainedOne() {
        CountDownLatch readable = new CountDownLatch(1);
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        JsonLog log = JsonLog.start(new BlockedOutputStream(output, readable), () -> 5);
        for (int line = 0; line < 2 * JsonLog.MAX_PENDING_LINES; line++) {
            log.write(EventCode.CALLER_GONE, "other");
        }
        log.writeRetained(EventCode.ATTEMPT_NOT_EXECUTED, "twice");
        log.writeRetained(EventCode.REQUEST_PLACED, "twice");
        log.write(EventCode.CALLER_GONE, "other");
        log.writeRetained(EventCode.REQUEST_ANSWERED, "twice");
        readable.countDown();
        log.close();
        assertThat(output.toString(StandardCharsets.UTF_8).lines().filter(line -> line.contains("twice")))
                .extracting(line -> line.replaceAll(".*\"name\":\"(\\w+)\".*", "$1"))
                .containsExactly("ATTEMPT_NOT_EXECUTED", "REQUEST_PLACED", "REQUEST_ANSWERED");
        assertThat(output.toString(StandardCharsets.UTF_8)).containsPattern("\"lines\":\\d+,\"retainedLines\":0");
    }

    /** Guards against a log that grows without bound if nobody reads it, whatever its lines are. */
    @Test
    void retainedLinesAreBoundedToo() {
        CountDownLatch readable = new CountDownLatch(1);
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        JsonLog log = JsonLog.start(new BlockedOutputStream(output, readable), () -> 5);
        for (int line = 0; line < 3 * JsonLog.MAX_PENDING_LINES; line++) {
            log.writeRetained(EventCode.ATTEMPT_NOT_EXECUTED, "r");
        }
        assertThat(log.totalDropped()).isPositive();
        readable.countDown();
        log.close();
        assertThat(output.toString(StandardCharsets.UTF_8)).containsPattern("\"retainedLines\":[1-9]");
    }

    private static final class BlockedOutputStream extends OutputStream {
        private final OutputStream delegate;
        private final CountDownLatch readable;

        private BlockedOutputStream(OutputStream delegate, CountDownLatch readable) {
            this.delegate = delegate;
            this.readable = readable;
        }

        @Override
        public void write(int value) {
            throw new UnsupportedOperationException("lines are written in batches");
        }

        @Override
        public void write(byte[] batch) throws IOException {
            try {
                readable.await();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
            delegate.write(batch);
        }
    }
}
