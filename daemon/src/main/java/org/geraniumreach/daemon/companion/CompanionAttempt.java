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
 * One attempt at this companion: what was asked, and the way of its output to the entry.
 *
 * <p>Invariants: output goes over the link that the entry last asked on, and no other; without a link it is kept. What
 * changes is guarded by this object's lock, and a slow link holds up nobody else. Safe for use by several threads.
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
     * Makes an attempt from a Run.
     *
     * @param run the Run, not null
     * @param link the link that it came over, not null
     * @param bufferedChunks how many chunks are kept
     * @param now the time
     * @return the attempt, not null
     * @throws IllegalArgumentException if a name or the digest is not one
     */
    static CompanionAttempt ofRun(Run run, Peer link, int bufferedChunks, long now) {
        OutputBuffer output = new OutputBuffer(0, run.getCredit(), bufferedChunks, !run.getRepeatable());
        return new CompanionAttempt(run, output, link, now);
    }

    /**
     * Makes an attempt that a former companion has begun.
     *
     * @param named what its entry says was asked, not null
     * @param next the first chunk wanted
     * @param link the link that it was asked for over, not null
     * @param bufferedChunks how many chunks are kept
     * @param now the time
     * @return the attempt, not null
     * @throws IllegalArgumentException if a name or the digest is not one
     */
    static CompanionAttempt ofInheritedStream(Run named, long next, Peer link, int bufferedChunks, long now) {
        return new CompanionAttempt(named, new OutputBuffer(next, named.getCredit(), bufferedChunks, false), link, now);
    }

    AttemptId id() {
        return id;
    }

    /**
     * Gets what was asked, but for the body.
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

    /** Lets chunks be sent, now that the target has said what it runs. */
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
     * Sends the output over a link from now on.
     *
     * @param newLink the link, not null
     * @param next the first chunk wanted
     * @param credit how many may be sent
     * @return false if that chunk is not kept any more
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
     * Goes on sending over a link that has room again.
     *
     * @param writable the link, not null
     */
    synchronized void onWritable(Peer writable) {
        if (link == writable) {
            flush();
        }
    }

    synchronized void onLinkClosed(Peer closed, long now) {
        if (link == closed) {
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
     * Queries whether no entry has had a link for the attempt for a time.
     *
     * @param limitNanos the time
     * @param now the time
     * @return true if none has
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
     * Counts how often the target was asked in vain to start the attempt.
     *
     * @return the count, this time included
     */
    synchronized int countRequeue() {
        return ++requeues;
    }
}
