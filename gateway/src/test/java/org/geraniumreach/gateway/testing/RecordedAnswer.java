package org.geraniumreach.gateway.testing;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.geraniumreach.gateway.port.CallerAnswer;
import org.geraniumreach.model.Header;

/** What a caller gets. */
public final class RecordedAnswer implements CallerAnswer {

    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private List<Header> headers = List.of();
    private int ends;
    private int heads;

    @Override
    public void head(int newStatus, List<Header> newHeaders) {
        heads++;
        status = newStatus;
        headers = newHeaders;
    }

    @Override
    public void part(byte[] part) {
        body.writeBytes(part);
    }

    @Override
    public void end() {
        ends++;
    }

    @Override
    public void abort() {
        ends += ABORTED;
    }

    /** Counts for as many ends as no test reaches. */
    private static final int ABORTED = 1_000;

    public int status() {
        return status;
    }

    public int heads() {
        return heads;
    }

    public boolean isWhole() {
        return ends == 1;
    }

    public boolean isCut() {
        return ends == ABORTED;
    }

    public boolean isOver() {
        return ends > 0;
    }

    /** The number of final words; more than one is a fault. */
    public int finalWords() {
        return ends >= ABORTED ? ends - ABORTED + 1 : ends;
    }

    public String text() {
        return body.toString(StandardCharsets.UTF_8);
    }

    public String header(String name) {
        return headers.stream()
                .filter(header -> header.isNamed(name))
                .map(Header::value)
                .findFirst()
                .orElse("");
    }
}
