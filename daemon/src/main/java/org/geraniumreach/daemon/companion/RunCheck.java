package org.geraniumreach.daemon.companion;

import java.util.Optional;

import org.geraniumreach.messages.Run;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.KeyDigest;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServiceName;
import org.geraniumreach.model.ServingException;
import org.geraniumreach.model.record.Configuration;
import org.geraniumreach.model.record.Service;
import org.geraniumreach.model.record.Target;

/**
 * Checks whether a request may run under the configuration in force at this companion.
 *
 * <p>The entry makes the same check, but it may be frozen between its check and its send, and a key withdrawn meanwhile
 * would still be accepted. Stateless and safe for use by several threads.
 */
final class RunCheck {

    private RunCheck() {}

    /**
     * Checks a request.
     *
     * @param run the request, not null
     * @param configuration the configuration in force, not null
     * @param target the target of this companion, not null
     * @throws ServingException if it may not run; it has not run
     * @throws IllegalArgumentException if a name or the digest is malformed
     */
    static void check(Run run, Configuration configuration, Target target) throws ServingException {
        Optional<ServingException> refusal = refusal(run, configuration, target);
        if (refusal.isEmpty()) {
            return;
        }
        if (run.getRevision() > configuration.revision()) {
            throw ServingException.notRun(
                    ResultCode.NOT_FRESH,
                    "revision " + run.getRevision() + " is not in force here yet, but " + configuration.revision());
        }
        throw refusal.get();
    }

    private static Optional<ServingException> refusal(Run run, Configuration configuration, Target target) {
        AccountId account = AccountId.of(run.getAccount());
        KeyDigest digest = KeyDigest.ofBytes(run.getKeyDigest().toByteArray());
        if (configuration
                .key(digest)
                .filter(key -> key.account().equals(account))
                .isEmpty()) {
            return refuse(ResultCode.KEY_REFUSED, "the key is unknown or withdrawn");
        }
        return run.getService().isEmpty()
                ? adapterRefusal(run, configuration, target, account)
                : serviceRefusal(run, configuration, target);
    }

    private static Optional<ServingException> adapterRefusal(
            Run run, Configuration configuration, Target target, AccountId account) {
        AdapterReference adapter = AdapterReference.of(run.getAdapter(), run.getVersion());
        if (!configuration.hasAdapter(adapter)) {
            return refuse(ResultCode.ADAPTER_UNKNOWN, "no adapter " + adapter);
        }
        if (!configuration.isAssigned(account, adapter.adapter())) {
            return refuse(ResultCode.ADAPTER_NOT_ASSIGNED, "adapter " + adapter + " is not assigned to " + account);
        }
        Optional<String> model = configuration.adapter(adapter.adapter()).map(record -> record.baseModel());
        if (!target.baseModel().equals(model)) {
            return refuse(ResultCode.NO_TARGET, "target " + target.id() + " does not run the model of " + adapter);
        }
        return Optional.empty();
    }

    private static Optional<ServingException> serviceRefusal(Run run, Configuration configuration, Target target) {
        ServiceName name = ServiceName.of(run.getService());
        if (!target.service().equals(Optional.of(name))) {
            return refuse(ResultCode.NO_TARGET, "target " + target.id() + " does not offer " + name);
        }
        Optional<Service.Operation> operation =
                configuration.service(name).map(service -> service.operations().get(run.getOperation()));
        if (operation.isEmpty()) {
            return refuse(ResultCode.SERVICE_UNKNOWN, "no operation " + run.getOperation() + " of " + name);
        }
        return Optional.empty();
    }

    private static Optional<ServingException> refuse(ResultCode code, String message) {
        return Optional.of(ServingException.notRun(code, message));
    }
}
