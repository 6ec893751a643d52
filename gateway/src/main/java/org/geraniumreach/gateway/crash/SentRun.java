package org.geraniumreach.gateway.crash;

import java.time.Duration;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.function.Supplier;

import org.geraniumreach.gateway.placement.Target;

/**
 * One sending of a request to a target, observed for whether the target survives it.
 *
 * <p>Invariant: an answer is sound only if parts of it arrive {@link #SURVIVAL_TIME} after its first one, or if it is complete; a target that ends
 * later did not end by this request. Confined to the event loop.
 */
public final class SentRun {

    /** Several times as long as targets take to end by what they have begun to answer. */
    static final Duration SURVIVAL_TIME = Duration.ofMillis(500);

    private final CrashGuard guard;
    private final Target target;
    private final Supplier<RequestIdentity> identity;
    private final long sentAt;
    private OptionalLong begunAt = OptionalLong.empty();
    private boolean sound;

    SentRun(CrashGuard guard, Target target, Supplier<RequestIdentity> identity, long sentAt) {
        this.guard = Objects.requireNonNull(guard, "guard");
        this.target = Objects.requireNonNull(target, "target");
        this.identity = Objects.requireNonNull(identity, "identity");
        this.sentAt = sentAt;
    }

    /**
     * Called when a part of the answer has arrived.
     *
     * @param now the time, in nanoseconds
     */
    public void onPart(long now) {
        if (begunAt.isEmpty()) {
            begunAt = OptionalLong.of(now);
        } else if (now - begunAt.getAsLong() >= SURVIVAL_TIME.toNanos()) {
            onSound();
        }
    }

    /** Called when the answer is complete. */
    public void onComplete() {
        onSound();
    }

    private void onSound() {
        if (!sound) {
            sound = true;
            guard.onSound(identity, begunAt.orElse(sentAt));
        }
    }

    /** Called when the answer broke off, or the connection before it. */
    public void onBroken() {
        if (!sound) {
            guard.onBroken(target, identity, sentAt);
        }
    }

    /** Called if the target has not run the request and will not. */
    public void onNotExecuted() {
        guard.onNotExecuted(identity);
    }
}
