package org.geraniumreach.gateway.request;

import java.util.Optional;

import org.geraniumreach.gateway.pacing.TargetAdmission;

/**
 * The admission of one request at one target.
 *
 * <p>Invariant: the admission is ended once, also if it is ended before the call that requested it has returned. Confined
 * to the event loop.
 */
final class HeldAdmission {

    private Optional<TargetAdmission.Admission> admission = Optional.empty();
    private boolean ended;

    void hold(TargetAdmission.Admission requested) {
        if (ended) {
            requested.end();
        } else {
            admission = Optional.of(requested);
        }
    }

    void end() {
        ended = true;
        admission.ifPresent(TargetAdmission.Admission::end);
        admission = Optional.empty();
    }
}
