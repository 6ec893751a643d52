package org.geraniumreach.daemon.entry;

import java.time.Clock;
import java.time.Duration;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.geraniumreach.coordination.membership.MembershipView;
import org.geraniumreach.daemon.http.Call;
import org.geraniumreach.daemon.http.Endpoint;
import org.geraniumreach.daemon.http.HttpLimits;
import org.geraniumreach.daemon.http.Routes;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.AttemptId;
import org.geraniumreach.model.Names;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServiceName;
import org.geraniumreach.model.ServingException;
import org.geraniumreach.model.record.Service;

/**
 * The HTTP endpoints for callers: completions, chat completions, models and service operations.
 *
 * <p>Safe for use by several threads.
 */
final class CallerEndpoints {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final int MAXIMUM_IDEMPOTENCY_KEY_LENGTH = 255;

    private final EntryDependencies dependencies;
    private final Supplier<MembershipView> membership;
    private final OpenAiRequestReader requests;
    private final HttpLimits httpLimits;
    private final Clock wallClock;
    private volatile boolean draining;

    CallerEndpoints(
            EntryDependencies dependencies,
            Supplier<MembershipView> membership,
            HttpLimits httpLimits,
            Clock wallClock) {
        this.dependencies = dependencies;
        this.membership = membership;
        this.requests = new OpenAiRequestReader(dependencies.limits());
        this.httpLimits = httpLimits;
        this.wallClock = wallClock;
    }

    Routes routes() {
        return Routes.none()
                .plus("POST", "/v1/completions", authenticated(this::completions))
                .plus("POST", "/v1/chat/completions", authenticated(this::chatCompletions))
                .plus("GET", "/v1/models", authenticated(this::models))
                .plus("POST", "/v1/services/{service}/{operation}", authenticated(this::service));
    }

    /** Refuses all further requests. */
    void drain() {
        draining = true;
    }

    private Endpoint authenticated(AuthenticatedEndpoint endpoint) {
        return call -> {
            Caller caller;
            try {
                requireNotDraining();
                caller = dependencies.authorizer().authenticate(call);
            } catch (ServingException refused) {
                dependencies.metrics().countUnknownCaller(refused.code());
                throw refused;
            }
            endpoint.handle(call, caller);
        };
    }

    private void requireNotDraining() throws ServingException {
        if (draining) {
            throw ServingException.notRun(ResultCode.DRAINING, "this instance is leaving; another one takes requests")
                    .withRetryAfter(Duration.ofSeconds(1));
        }
    }

    /** An endpoint that receives the authenticated caller. */
    private interface AuthenticatedEndpoint {

        void handle(Call call, Caller caller) throws ServingException;
    }

    private void completions(Call call, Caller caller) throws ServingException {
        generate(call, caller, requests.completion(call.json()));
    }

    private void chatCompletions(Call call, Caller caller) throws ServingException {
        generate(call, caller, requests.chat(call.json()));
    }

    private void generate(Call call, Caller caller, GenerationRequest request) throws ServingException {
        AdapterReference adapter = dependencies.authorizer().requireAdapter(caller.id(), request.model());
        String baseModel = dependencies
                .authorizer()
                .adapter(adapter)
                .orElseThrow(() -> ServingException.notRun(ResultCode.ADAPTER_UNKNOWN, "no adapter " + adapter))
                .baseModel();
        GenerationCall generation = new GenerationCall(dependencies, caller, adapter, baseModel, request);
        call.onCallerGone(generation::onCallerGone);
        generation.start(sink(call, request, generation));
    }

    private AnswerSink sink(Call call, GenerationRequest request, GenerationCall generation) {
        String id = AttemptId.random(dependencies.random()).value();
        OpenAiResponseWriter format = new OpenAiResponseWriter(
                request.kind(), id, request.model(), wallClock.instant().getEpochSecond());
        if (!request.streamed()) {
            return new BufferedAnswer(call, format);
        }
        StreamedAnswer.Timeouts timeouts =
                new StreamedAnswer.Timeouts(dependencies.limits().keepAlive(), httpLimits.writeStall());
        return new StreamedAnswer(
                call, format, request.usageInStream(), timeouts, dependencies.clock(), generation::onCallerGone);
    }

    private void models(Call call, Caller caller) {
        ObjectNode answer = MAPPER.createObjectNode();
        answer.put("object", "list");
        ArrayNode data = answer.putArray("data");
        for (AdapterReference reference : dependencies.authorizer().current().adaptersOf(caller.id())) {
            data.addObject()
                    .put("id", reference.toString())
                    .put("object", "model")
                    .put("created", 0)
                    .put("owned_by", caller.id().value());
        }
        call.reply(ResultCode.OK.httpStatus(), answer);
    }

    private void service(Call call, Caller caller) throws ServingException {
        ServiceCall.Operation operation = operation(call.parameter(0), call.parameter(1));
        String key = call.header(IDEMPOTENCY_KEY)
                .orElseThrow(() -> ServingException.notRun(
                        ResultCode.IDEMPOTENCY_KEY_MISSING, "send an " + IDEMPOTENCY_KEY + " with each call"));
        if (key.isEmpty()
                || key.length() > MAXIMUM_IDEMPOTENCY_KEY_LENGTH
                || !key.chars().allMatch(CallerEndpoints::isPlain)) {
            throw ServingException.notRun(
                    ResultCode.MALFORMED_REQUEST,
                    IDEMPOTENCY_KEY + ": must be 1 to " + MAXIMUM_IDEMPOTENCY_KEY_LENGTH + " visible ASCII characters");
        }
        new ServiceCall(dependencies, membership, call, caller, operation, key).start();
    }

    private static boolean isPlain(int character) {
        return character > ' ' && character < 0x7f;
    }

    private ServiceCall.Operation operation(String serviceName, String operationName) throws ServingException {
        ServingException unknown = ServingException.notRun(ResultCode.SERVICE_UNKNOWN, "no such service or operation");
        if (!Names.isName(serviceName)) {
            throw unknown;
        }
        Service service = dependencies
                .authorizer()
                .current()
                .service(ServiceName.of(serviceName))
                .orElseThrow(() -> unknown);
        Service.Operation operation = service.operations().get(operationName);
        if (operation == null) {
            throw unknown;
        }
        return new ServiceCall.Operation(service.name(), operationName, operation.tokens());
    }
}
