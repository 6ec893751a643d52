package org.geraniumreach.daemon.companion;

import java.time.Duration;
import java.util.Optional;

import org.geraniumreach.messages.Run;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServingException;
import org.geraniumreach.model.record.Target;

/**
 * Checks a request against the configuration in force, on its arrival and again before its start.
 *
 * <p>A request may wait in the queue for a long time. Without the second check it would still start after its key was
 * withdrawn, also if this companion was disconnected and could not learn of the withdrawal. Safe for use by several
 * threads.
 */
final class StartCheck {

    private static final Duration RETRY_AFTER = Duration.ofMillis(500);

    private final CompanionDependencies dependencies;

    StartCheck(CompanionDependencies dependencies) {
        this.dependencies = dependencies;
    }

    /**
     * Checks a request.
     *
     * @param run the request, not null
     * @throws ServingException if the request may not start; it has not run
     */
    void check(Run run) throws ServingException {
        dependencies.configuration().requireFresh();
        Optional<Target> target = dependencies.configuration().current().target(dependencies.target());
        if (target.isEmpty()) {
            throw ServingException.notRun(ResultCode.NO_TARGET, "no record of target " + dependencies.target())
                    .withRetryAfter(RETRY_AFTER);
        }
        RunCheck.check(run, dependencies.configuration().current(), target.get());
    }
}
