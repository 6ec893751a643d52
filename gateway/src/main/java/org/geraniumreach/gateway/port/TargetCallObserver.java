package org.geraniumreach.gateway.port;

import java.util.function.Consumer;

import org.geraniumreach.gateway.placement.Target;

/**
 * Observes all calls to targets: requests, orders and reads of reports.
 *
 * <p>Confined to the event loop.
 */
@FunctionalInterface
public interface TargetCallObserver {

    /**
     * Called when a call is sent to a target.
     *
     * @param target the target, not null
     * @return receives the signals of the answer, if the target itself answers, not null
     */
    Consumer<TargetSignals> onCall(Target target);

    /**
     * Combines this observer with another one.
     *
     * @param other the observer that is called after this one, not null
     * @return the combined observer, not null
     */
    default TargetCallObserver andThen(TargetCallObserver other) {
        return target -> onCall(target).andThen(other.onCall(target));
    }

    /**
     * Returns an observer that ignores all calls.
     *
     * @return the observer, not null
     */
    static TargetCallObserver none() {
        return target -> signals -> {};
    }
}
