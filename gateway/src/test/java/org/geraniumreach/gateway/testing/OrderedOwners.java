package org.geraniumreach.gateway.testing;

import java.time.Duration;
import java.util.function.Consumer;

import org.geraniumreach.gateway.admission.AdmissionRequest;
import org.geraniumreach.gateway.pacing.TargetAdmission;
import org.geraniumreach.gateway.placement.Target;
import org.geraniumreach.gateway.port.Cancellable;

/** The owners of targets, who order requests and do not pace them; a test decides for them. */
@FunctionalInterface
public interface OrderedOwners extends TargetAdmission {

    @Override
    Admission request(Target target, String requestId, AdmissionRequest request, Consumer<Decision> callback);

    @Override
    default Cancellable admit(Target target, long promptTokens, Duration maxDelay, Consumer<Decision> callback) {
        throw new UnsupportedOperationException("requests are ordered here");
    }

    @Override
    default boolean isOrdered() {
        return true;
    }
}
