package org.geraniumreach.gateway.request;

import org.geraniumreach.gateway.placement.Target;

/**
 * Waits for the permission to send a request to a target that names a limit.
 *
 * <p>Confined to the event loop.
 */
final class PermissionStep {

    private final ExchangeServices services;
    private final SendPermission permission;
    private final PendingWaits waits;

    PermissionStep(ExchangeServices services, SendPermission permission, PendingWaits waits) {
        this.services = services;
        this.permission = permission;
        this.waits = waits;
    }

    /**
     * Runs the step.
     *
     * @param target the target
     * @param next run once the request may be sent to the target
     * @param placeAgain run if it may not
     */
    void run(Target target, Runnable next, Runnable placeAgain) {
        waits.setDecision(permission.request(target, permitted -> {
            if (permitted && services.placement().isSendable(target)) {
                next.run();
            } else {
                placeAgain.run();
            }
        }));
    }
}
