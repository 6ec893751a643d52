package org.geraniumreach.daemon.entry;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import org.geraniumreach.coordination.membership.Member;
import org.geraniumreach.coordination.membership.MembershipView;
import org.geraniumreach.daemon.budget.BudgetCallback;
import org.geraniumreach.daemon.budget.Reservation;
import org.geraniumreach.daemon.http.Call;
import org.geraniumreach.daemon.ledger.Dispatcher;
import org.geraniumreach.daemon.ledger.LedgerAnswer;
import org.geraniumreach.daemon.ledger.LedgerRequest;
import org.geraniumreach.daemon.metrics.RequestClass;
import org.geraniumreach.daemon.metrics.RequestMeters;
import org.geraniumreach.messages.Run;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.ExecutionStatus;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServiceName;
import org.geraniumreach.model.ServingException;
import org.geraniumreach.model.TargetId;
import org.geraniumreach.serving.routing.Offering;
import org.geraniumreach.serving.routing.RouteRequest;

/**
 * Runs one caller's call of a service operation through the ledger.
 *
 * <p>Invariants: the caller gets exactly one answer; the budget is settled once. The ledger ensures that the operation
 * runs at most once. Safe for use by several threads.
 */
final class ServiceCall implements BudgetCallback, Dispatcher {

    private static final int INITIAL_CREDIT_CHUNKS = 32;
    private static final String REPLAYED_HEADER = "Idempotency-Replayed";

    private final EntryDependencies dependencies;
    private final Supplier<MembershipView> membership;
    private final Call call;
    private final Caller caller;
    private final ServiceName service;
    private final String operation;
    private final LedgerRequest request;
    private final long tokens;
    private final RequestMeters meters;
    private final long deadlineNanos;
    private final Map<InstanceId, TargetId> chosenTargets = new HashMap<>();
    private final Set<TargetId> triedTargets = new HashSet<>();

    ServiceCall(
            EntryDependencies dependencies,
            Supplier<MembershipView> membership,
            Call call,
            Caller caller,
            Operation operation,
            String idempotencyKey) {
        this.dependencies = dependencies;
        this.membership = membership;
        this.call = call;
        this.caller = caller;
        this.service = operation.service();
        this.operation = operation.name();
        this.request = new LedgerRequest(caller.id(), idempotencyKey, service + "/" + this.operation, call.body());
        this.tokens = operation.tokens();
        this.meters = dependencies.metrics().requests(caller.id(), RequestClass.SERVICE);
        this.deadlineNanos =
                dependencies.clock().nanos() + dependencies.limits().deadline().toNanos();
    }

    /**
     * The operation that a call names.
     *
     * @param service the name of the service
     * @param name the name of the operation
     * @param tokens the cost of one call, in tokens
     */
    record Operation(ServiceName service, String name, long tokens) {}

    void start() {
        dependencies.budget().reserve(caller.id(), tokens, remainingTime(), this);
    }

    private Duration remainingTime() {
        return Duration.ofNanos(Math.max(0, deadlineNanos - dependencies.clock().nanos()));
    }

    @Override
    public void onGranted(Reservation reservation) {
        dependencies.ledger().perform(request, this).whenComplete((answer, failure) -> {
            if (failure == null) {
                finish(answer, reservation);
            } else {
                fail(servingException(failure), reservation);
            }
        });
    }

    private static ServingException servingException(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof ServingException refusal
                ? refusal
                : ServingException.of(ResultCode.INTERNAL_ERROR, ExecutionStatus.UNKNOWN, "a fault of the system")
                        .withCause(cause);
    }

    private void finish(LedgerAnswer answer, Reservation reservation) {
        reservation.settle(answer.replayed() ? 0 : tokens);
        meters.countTokens(answer.replayed() ? 0 : tokens, 0);
        meters.countResult(ResultCode.OK);
        call.setHeader(REPLAYED_HEADER, Boolean.toString(answer.replayed()));
        call.reply(ResultCode.OK.httpStatus(), "application/json", answer.body());
    }

    private void fail(ServingException failure, Reservation reservation) {
        reservation.settle(failure.executionStatus() == ExecutionStatus.NO ? 0 : tokens);
        onRefused(failure);
    }

    @Override
    public void onRefused(ServingException refusal) {
        meters.countResult(refusal.code());
        call.fail(refusal);
    }

    @Override
    public synchronized Optional<Companion> chooseCompanion() {
        RouteRequest routeRequest =
                RouteRequest.ofService(Offering.ofService(service)).withExcluded(triedTargets);
        return dependencies.fleet().route(routeRequest).flatMap(route -> {
            chosenTargets.put(route.instance(), route.target());
            return membership
                    .get()
                    .member(route.instance())
                    .filter(Member::isLinked)
                    .map(member ->
                            new Companion(route.instance(), member.incarnation().getAsLong()));
        });
    }

    /**
     * Creates the message for a chosen companion. A target counts as tried once a request is sent to it; one that was
     * only chosen may be chosen again.
     */
    @Override
    public synchronized Run createRun(AttemptId attempt, Companion companion) {
        Optional.ofNullable(chosenTargets.get(companion.instance())).ifPresent(triedTargets::add);
        return Run.newBuilder()
                .setAttempt(attempt.value())
                .setDeadlineLeftMillis(remainingTime().toMillis())
                .setAccount(caller.id().value())
                .setKeyDigest(ByteString.copyFrom(caller.key().toBytes()))
                .setService(service.value())
                .setOperation(operation)
                .setBody(ByteString.copyFrom(call.body()))
                .setPriority(caller.account().priority())
                .setCompanionIncarnation(companion.incarnation())
                .setRevision(dependencies.authorizer().current().revision())
                .setCredit(INITIAL_CREDIT_CHUNKS)
                .build();
    }
}
