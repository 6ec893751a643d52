package org.geraniumreach.daemon.operator;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.geraniumreach.coordination.configuration.Submission;
import org.geraniumreach.coordination.configuration.SubmissionCheck;
import org.geraniumreach.coordination.configuration.SubmissionResult;
import org.geraniumreach.daemon.configuration.ChangeHistory;
import org.geraniumreach.daemon.configuration.ConfigurationService;
import org.geraniumreach.daemon.configuration.Submitter;
import org.geraniumreach.daemon.http.Call;
import org.geraniumreach.daemon.http.Endpoint;
import org.geraniumreach.daemon.http.ErrorBody;
import org.geraniumreach.daemon.http.Routes;
import org.geraniumreach.model.ExecutionStatus;
import org.geraniumreach.model.KeyDigest;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServingException;
import org.geraniumreach.model.record.Configuration;
import org.geraniumreach.model.record.LogEntry;
import org.geraniumreach.model.record.RecordException;
import org.geraniumreach.model.record.RecordKey;
import org.geraniumreach.model.record.RecordKind;

/**
 * The HTTP endpoints for operators: submissions, records, history and status.
 *
 * <p>Invariant: a request without the operator credential is always answered with OPERATOR_REFUSED. Safe for use by
 * several threads.
 */
public final class OperatorEndpoints {

    private static final int OK = ResultCode.OK.httpStatus();

    private final KeyDigest credential;
    private final ConfigurationService configuration;
    private final Submitter submitter;
    private final ChangeHistory history;
    private final Supplier<ObjectNode> status;

    /**
     * Creates the endpoints.
     *
     * @param credential the digest of the operator credential, not null
     * @param configuration provides the current configuration, not null
     * @param submitter processes submissions, not null
     * @param history reads the configuration log, not null
     * @param status supplies the state of this process as JSON, not null
     */
    public OperatorEndpoints(
            KeyDigest credential,
            ConfigurationService configuration,
            Submitter submitter,
            ChangeHistory history,
            Supplier<ObjectNode> status) {
        this.credential = Objects.requireNonNull(credential, "credential");
        this.configuration = Objects.requireNonNull(configuration, "configuration");
        this.submitter = Objects.requireNonNull(submitter, "submitter");
        this.history = Objects.requireNonNull(history, "history");
        this.status = Objects.requireNonNull(status, "status");
    }

    /**
     * Gets the routes.
     *
     * @return the routes, not null
     */
    public Routes routes() {
        return Routes.none()
                .plus("POST", "/operator/v1/submit", authenticated(this::submit))
                .plus("POST", "/operator/v1/withdraw", authenticated(this::withdraw))
                .plus("POST", "/operator/v1/validate", authenticated(this::validate))
                .plus("GET", "/operator/v1/records/{kind}", authenticated(this::list))
                .plus("GET", "/operator/v1/records/{kind}/{name}", authenticated(this::show))
                .plus("GET", "/operator/v1/history", authenticated(this::history))
                .plus("GET", "/operator/v1/status", authenticated(call -> call.reply(OK, status.get())));
    }

    private Endpoint authenticated(Endpoint endpoint) {
        return call -> {
            Optional<KeyDigest> presented = call.bearerToken().map(KeyDigest::ofSecret);
            if (presented.filter(credential::equals).isEmpty()) {
                throw ServingException.notRun(
                        ResultCode.OPERATOR_REFUSED, "the operator credential is missing or wrong");
            }
            endpoint.handle(call);
        };
    }

    private void submit(Call call) throws ServingException {
        JsonNode request = call.json();
        Optional<String> record = Optional.of(SubmissionRequests.record(request));
        answer(call, SubmissionRequests.submission(request, record));
    }

    private void withdraw(Call call) throws ServingException {
        answer(call, SubmissionRequests.submission(call.json(), Optional.empty()));
    }

    private void answer(Call call, Submission submission) throws ServingException {
        if (submitter.isClosed()) {
            String message = "this instance is leaving; submit operation " + submission.operation() + " elsewhere";
            throw ServingException.notRun(ResultCode.DRAINING, message);
        }
        Submitter.Outcome outcome = outcome(submission);
        SubmissionResult result = outcome.result();
        ObjectNode json = result.isAccepted() ? accepted(outcome) : failure(result);
        json.put("operation", submission.operation());
        call.reply(result.code().httpStatus(), json);
    }

    private Submitter.Outcome outcome(Submission submission) throws ServingException {
        try {
            return submitter.submit(submission);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            String message = "this instance ends; submit operation " + submission.operation() + " elsewhere";
            throw ServingException.of(ResultCode.SUBMISSION_UNSETTLED, ExecutionStatus.UNKNOWN, message);
        }
    }

    private static ObjectNode accepted(Submitter.Outcome outcome) {
        ObjectNode json = RecordJson.object().put("result", ResultCode.OK.name());
        json.set("change", RecordJson.of(outcome.result().entry().orElseThrow()));
        return json.put("otherEntries", outcome.otherHolderCount());
    }

    private static ObjectNode failure(SubmissionResult result) {
        ExecutionStatus ran =
                result.code() == ResultCode.SUBMISSION_UNSETTLED ? ExecutionStatus.UNKNOWN : ExecutionStatus.NO;
        ObjectNode json = ErrorBody.of(ServingException.of(result.code(), ran, result.message()));
        result.entry().ifPresent(current -> json.set("current", RecordJson.of(current)));
        return json;
    }

    // Records of one request may refer to one another, so each is checked against the configuration with the preceding
    // ones applied.
    private void validate(Call call) throws ServingException {
        Configuration checked = configuration.current();
        int count = 0;
        for (JsonNode request : SubmissionRequests.records(call.json())) {
            RecordKey key = SubmissionRequests.key(request);
            Optional<String> record = Optional.of(SubmissionRequests.record(request));
            long revision = checked.revision();
            try {
                Optional<String> body =
                        SubmissionCheck.check(new Submission("validation", revision, key, record), checked);
                checked = checked.plus(List.of(new LogEntry(revision + 1, "validation", key, body)));
            } catch (RecordException invalid) {
                throw ServingException.notRun(invalid.code(), key + ": " + invalid.getMessage());
            }
            count++;
        }
        call.reply(OK, RecordJson.object().put("result", ResultCode.OK.name()).put("records", count));
    }

    private void list(Call call) throws ServingException {
        RecordKind kind = SubmissionRequests.kind(call.parameter(0));
        Configuration current = configuration.current();
        List<LogEntry> records = current.entries().stream()
                .filter(entry -> entry.key().kind() == kind)
                .sorted(Comparator.comparing(entry -> entry.key().name()))
                .toList();
        ObjectNode json = RecordJson.object().put("revision", current.revision());
        json.set("records", RecordJson.of(records));
        call.reply(OK, json);
    }

    private void show(Call call) throws ServingException {
        RecordKey key = SubmissionRequests.key(call.parameter(0), call.parameter(1));
        LogEntry entry = configuration
                .current()
                .entry(key)
                .orElseThrow(() -> ServingException.notRun(ResultCode.RECORD_UNKNOWN, key + " does not exist"));
        call.reply(OK, RecordJson.of(entry));
    }

    private void history(Call call) throws ServingException {
        Optional<RecordKey> key = Optional.empty();
        if (call.query("kind").isPresent() || call.query("name").isPresent()) {
            key = Optional.of(SubmissionRequests.key(
                    call.query("kind").orElse(""), call.query("name").orElse("")));
        }
        ObjectNode json = RecordJson.object();
        json.set("changes", RecordJson.of(history.read(key)));
        call.reply(OK, json);
    }
}
