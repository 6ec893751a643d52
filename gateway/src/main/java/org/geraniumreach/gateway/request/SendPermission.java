package org.geraniumreach.gateway.request;

import java.util.Optional;
import java.util.function.Consumer;

import org.geraniumreach.gateway.limit.RequestLimiter;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.port.Cancellable;
import org.geraniumreach.model.MonotonicClock;
import org.geraniumreach.model.TargetId;

/**
 * The permission of one request to be sent to a target that names a limit.
 *
 * <p>Invariant: at most one permission is held; it is used once, and not after its time. Confined to the event loop.
 */
final class SendPermission {

    private final RequestLimiter limiter;
    private final MonotonicClock clock;
    private Optional<Held> held = Optional.empty();

    private record Held(Target target, long validUntil) {}

    SendPermission(RequestLimiter limiter, MonotonicClock clock) {
        this.limiter = limiter;
        this.clock = clock;
    }

    /** Requests a permission, unless it is held; the callback gets whether the request may be sent. */
    Cancellable request(Target target, Consumer<Boolean> callback) {
        if (isHeldFor(target)) {
            callback.accept(true);
            return Cancellable.NOOP;
        }
        return limiter.admit(target, decision -> {
            if (!decision.validFor().isZero()) {
                held = Optional.of(
                        new Held(target, clock.nanos() + decision.validFor().toNanos()));
            }
            callback.accept(decision.admitted());
        });
    }

    private boolean isHeldFor(Target target) {
        return target().filter(target.id()::equals).isPresent();
    }

    /** Gets the target for which a valid permission is held. */
    Optional<TargetId> target() {
        return held.filter(permission -> clock.nanos() < permission.validUntil())
                .map(permission -> permission.target().id());
    }

    void use() {
        held = Optional.empty();
    }
}
