package org.geraniumreach.gateway.testing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.geraniumreach.gateway.admission.AdmissionDecision.Reason;
import org.geraniumreach.gateway.admission.AdmissionRequest;
import org.geraniumreach.gateway.placement.Target;

/** Records the requests for admission, and decides at once on those for whose target a decision is set. */
public final class FakeOwners implements OrderedOwners {

    private final List<Asked> asked = new ArrayList<>();
    private final Map<String, Decision> decisions = new HashMap<>();

    /** A request for admission. */
    public static final class Asked {
        private final Target target;
        private final AdmissionRequest request;
        private final Consumer<Decision> callback;
        private int ends;

        private Asked(Target target, AdmissionRequest request, Consumer<Decision> callback) {
            this.target = target;
            this.request = request;
            this.callback = callback;
        }

        public Target target() {
            return target;
        }

        public AdmissionRequest request() {
            return request;
        }

        /** Returns how often the admission was ended. */
        public int ends() {
            return ends;
        }

        public void admit() {
            callback.accept(Decision.IMMEDIATE);
        }
    }

    @Override
    public Admission request(Target target, String requestId, AdmissionRequest request, Consumer<Decision> callback) {
        Asked added = new Asked(target, request, callback);
        asked.add(added);
        Optional.ofNullable(decisions.get(target.id().value())).ifPresent(callback);
        return () -> added.ends++;
    }

    public List<Asked> asked() {
        return asked;
    }

    public Asked last() {
        return asked.get(asked.size() - 1);
    }

    /** Sets the decision on further requests to a target. */
    public void decide(String target, Decision decision) {
        decisions.put(target, decision);
    }

    /** Rejects further requests to a target. */
    public void reject(String target, Duration retryAfter, Reason reason, boolean lessUrgentWait) {
        decide(target, Decision.rejected(new Rejection(retryAfter, reason, lessUrgentWait)));
    }

    /** Leaves further requests undecided. */
    public void clearDecisions() {
        decisions.clear();
    }
}
