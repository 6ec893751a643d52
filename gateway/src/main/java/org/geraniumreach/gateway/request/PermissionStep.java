package org.geraniumreach.gateway.request;

import java.util.function.Predicate;

import org.geraniumreach.gateway.placement.Target;

/**
 * Waits for the permission to send a request to a target that names a limit.
 *
 * <p>Confined to the event loop.
 */
final class PermissionStep {

    private final SendPermission permission;
    private final PendingWaits waits;

    PermissionStep(SendPermission permission, PendingWaits waits) {
        this.permission = permission;
        this.waits = waits;
    }

    /**
     * Runs the step.
     *
     * @param target the target
     * @param stillUsable queries after the wait whether the target may still be used
     * @param next run once the request may be sent to the target
     * @param placeAgain run if it may not
     */
    void run(Target target, Predicate<Target> stillUsable, Runnable next, Runnable placeAgain) {
        waits.setDecision(permission.request(target, permitted -> {
            if (permitted && stillUsable.test(target)) {
                next.run();
            } else {
                placeAgain.run();
            }
        }));
    }
}
