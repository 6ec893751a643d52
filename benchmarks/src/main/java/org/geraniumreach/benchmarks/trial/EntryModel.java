package org.geraniumreach.benchmarks.trial;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.model.record.Target;
import org.geraniumreach.serving.prefix.PrefixDirectory;
import org.geraniumreach.serving.routing.FleetView;
import org.geraniumreach.serving.routing.RouteRequest;
import org.geraniumreach.serving.routing.Router;
import org.geraniumreach.serving.routing.RouterSettings;
import org.geraniumreach.serving.routing.SentRequest;
import org.geraniumreach.serving.routing.TargetFilter;

/** Simulates an entry; confined to the trial's thread. */
final class EntryModel {

    private static final String MODEL = "model";
    private static final int FAILURE_DOMAINS = 3;

    private final FleetView fleet;
    private final Router router;
    private final Map<AttemptId, SentRequest> sentRequests = new HashMap<>();

    EntryModel(EventLoop loop, Policies policies, long seed) {
        this.fleet = FleetView.create(loop);
        this.router = policies.routing()
                .createRouter(
                        fleet,
                        TargetFilter.all(),
                        PrefixDirectory.none(),
                        RouterSettings.of(policies.routingWeights()),
                        new Random(seed));
    }

    FleetView fleet() {
        return fleet;
    }

    void join(TargetId target, int number, int slots) {
        FailureDomain domain = FailureDomain.of("domain-" + number % FAILURE_DOMAINS);
        fleet.join(
                new Target(target, domain, Optional.of(MODEL), Optional.empty(), slots, true),
                InstanceId.of("instance-" + number));
    }

    TargetId send(TrialRequest request) {
        TargetId target = router.route(RouteRequest.ofAdapter(MODEL, request.adapter))
                .orElseThrow()
                .target();
        sentRequests.put(request.attempt, fleet.recordSent(target));
        return target;
    }

    void onAccepted(TrialRequest request) {
        sentRequests.get(request.attempt).onAccepted();
    }

    void onEnded(TrialRequest request) {
        sentRequests.remove(request.attempt).onEnded();
    }
}
