package org.geraniumreach.daemon.companion;

import java.util.Optional;

import com.google.protobuf.ByteString;
import org.geraniumreach.link.Peer;
import org.geraniumreach.messages.Chunk;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.Run;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.KeyDigest;

/**
 * An attempt that this companion handles: the request, and the delivery of its output to the entry.
 *
 * <p>Invariants: output is sent only over the link from which the entry last asked for it; without a link it is
 * retained. State is guarded by this object's lock, so a slow link delays no other attempt. Safe for use by several
 * threads.
 */
final class CompanionAttempt {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final AttemptId id;
    private final Run runWithoutBody;
    private final AccountId account;
    private final Optional<AdapterReference> adapter;
    private final Optional<KeyDigest> key;
    private final long arrivedAt;
    private final long deadline;
    private final OutputBuffer outputBuffer;
    private ByteString body;
    private Peer link;
    private long unlinkedSince;
    private int requeues;

    private CompanionAttempt(Run run, OutputBuffer output, Peer link, long now) {
        this.id = AttemptId.of(run.getAttempt());
        this.runWithoutBody = run.toBuilder().clearBody().build();
        this.body = run.getBody();
        this.account = AccountId.of(run.getAccount());
        this.adapter = run.getAdapter().isEmpty()
                ? Optional.empty()
                : Optional.of(AdapterReference.of(run.getAdapter(), run.getVersion()));
        this.key = run.getKeyDigest().isEmpty()
                ? Optional.empty()
                : Optional.of(KeyDigest.ofBytes(run.getKeyDigest().toByteArray()));
        this.arrivedAt = now;
        this.deadline = now + run.getDeadlineLeftMillis() * NANOS_PER_MILLI;
        this.outputBuffer = output;
        this.link = link;
    }

    /**
     * Creates an attempt from a Run.
     *
     * @param run the Run, not null
     * @param link the link over which it arrived, not null
     * @param bufferedChunks how many chunks are retained at most
     * @param now the current time in nanoseconds of the monotonic clock
     * @return the attempt, not null
     * @throws IllegalArgumentException if a name or the digest is malformed
     */
    static CompanionAttempt ofRun(Run run, Peer link, int bufferedChunks, long now) {
        OutputBuffer output = new OutputBuffer(0, run.getCredit(), bufferedChunks, !run.getRepeatable());
        return new CompanionAttempt(run, output, link, now);
    }

    /**
     * Creates an attempt for a stream that a previous companion started.
     *
     * @param run the request as described by its entry, without a body, not null
     * @param next the sequence number of the first chunk wanted
     * @param link the link over which it was requested, not null
     * @param bufferedChunks how many chunks are retained at most
     * @param now the current time in nanoseconds of the monotonic clock
     * @return the attempt, not null
     * @throws IllegalArgumentException if a name or the digest is malformed
     */
    static CompanionAttempt ofInheritedStream(Run run, long next, Peer link, int bufferedChunks, long now) {
        return new CompanionAttempt(run, new OutputBuffer(next, run.getCredit(), bufferedChunks, false), link, now);
    }

    AttemptId id() {
        return id;
    }

    /**
     * Gets the request without its body.
     *
     * @return the Run without its body, not null
     */
    Run runWithoutBody() {
        return runWithoutBody;
    }

    synchronized ByteString body() {
        return body;
    }

    AccountId account() {
        return account;
    }

    Optional<AdapterReference> adapter() {
        return adapter;
    }

    Optional<KeyDigest> key() {
        return key;
    }

    long arrivedAt() {
        return arrivedAt;
    }

    boolean isExpired(long now) {
        return runWithoutBody.getDeadlineLeftMillis() > 0 && now - deadline >= 0;
    }

    long deadline() {
        return deadline;
    }

    /** Permits chunks to be sent, after the target has named the adapter that it runs. */
    synchronized void open() {
        outputBuffer.open();
        flush();
    }

    synchronized void add(Chunk chunk) {
        outputBuffer.add(chunk);
        flush();
    }

    /**
     * Ends the output.
     *
     * @param last an End or a Refused, not null
     */
    synchronized void finish(Frame last) {
        body = ByteString.EMPTY;
        outputBuffer.finish(last);
        flush();
    }

    /**
     * Redirects the output to another link.
     *
     * @param newLink the link, not null
     * @param next the sequence number of the first chunk wanted
     * @param credit how many chunks may be sent
     * @return false if that chunk is no longer retained
     */
    synchronized boolean resume(Peer newLink, long next, int credit) {
        if (!outputBuffer.resume(next, credit)) {
            return false;
        }
        link = newLink;
        flush();
        return true;
    }

    synchronized void acknowledge(long next, int credit) {
        outputBuffer.acknowledge(next, credit);
        flush();
    }

    /**
     * Continues to send over a link that is writable again.
     *
     * @param writableLink the link, not null
     */
    synchronized void onWritable(Peer writableLink) {
        if (link == writableLink) {
            flush();
        }
    }

    synchronized void onLinkClosed(Peer closedLink, long now) {
        if (link == closedLink) {
            link = null;
            unlinkedSince = now;
        }
    }

    private void flush() {
        while (link != null && link.isWritable()) {
            Optional<Frame> next = outputBuffer.pollFrame();
            if (next.isEmpty() || !link.send(next.get())) {
                return;
            }
        }
    }

    /**
     * Queries whether the attempt has been without a link for longer than a limit.
     *
     * @param limitNanos the limit in nanoseconds
     * @param now the current time in nanoseconds of the monotonic clock
     * @return true if it has no link and lost it longer ago than the limit
     */
    synchronized boolean isOrphaned(long limitNanos, long now) {
        return link == null && now - unlinkedSince > limitNanos;
    }

    synchronized int takeDemand() {
        return outputBuffer.takeDemand();
    }

    synchronized void resetDemand() {
        outputBuffer.resetDemand();
    }

    synchronized long nextExpectedSequence() {
        return outputBuffer.nextExpectedSequence();
    }

    synchronized boolean isFinished() {
        return outputBuffer.isFinished();
    }

    synchronized boolean isDelivered() {
        return outputBuffer.isDelivered();
    }

    /**
     * Counts a return of the attempt to the queue after the target did not start it.
     *
     * @return the number of returns, including this one
     */
    synchronized int countRequeue() {
        return ++requeues;
    }
}
