package org.geraniumreach.gateway.testing;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.geraniumreach.gateway.port.CallerAnswer;
import org.geraniumreach.model.Header;

/** Records the answer that a caller receives. */
public final class RecordedAnswer implements CallerAnswer {

    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private List<Header> headers = List.of();
    private int endCount;
    private int headCount;
    private boolean callerGone;

    @Override
    public void writeHead(int newStatus, List<Header> newHeaders) {
        headCount++;
        status = newStatus;
        headers = newHeaders;
    }

    @Override
    public void writePart(byte[] part) {
        body.writeBytes(part);
    }

    @Override
    public void end() {
        endCount++;
    }

    @Override
    public boolean isCallerGone() {
        return callerGone;
    }

    /** Makes the caller close its connection, which has not been read yet. */
    public void leaveUnread() {
        callerGone = true;
    }

    @Override
    public void abort() {
        endCount += ABORT_COUNT;
    }

    /** Added to the end count by an abort; larger than any number of ends in a test. */
    private static final int ABORT_COUNT = 1_000;

    public int status() {
        return status;
    }

    public int headCount() {
        return headCount;
    }

    public boolean isComplete() {
        return endCount == 1;
    }

    public boolean isAborted() {
        return endCount == ABORT_COUNT;
    }

    public boolean isEnded() {
        return endCount > 0;
    }

    /** Returns the number of ends and aborts; more than one is a fault. */
    public int terminationCount() {
        return endCount >= ABORT_COUNT ? endCount - ABORT_COUNT + 1 : endCount;
    }

    public String text() {
        return body.toString(StandardCharsets.UTF_8);
    }

    public String header(String name) {
        return headers.stream()
                .filter(header -> header.hasName(name))
                .map(Header::value)
                .findFirst()
                .orElse("");
    }
}
