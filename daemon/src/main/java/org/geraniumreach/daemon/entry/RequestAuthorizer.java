package org.geraniumreach.daemon.entry;

import java.util.Optional;

import org.geraniumreach.daemon.configuration.ConfigurationService;
import org.geraniumreach.daemon.http.Call;
import org.geraniumreach.model.AccountId;
import org.geraniumreach.model.AdapterReference;
import org.geraniumreach.model.KeyDigest;
import org.geraniumreach.model.ResultCode;
import org.geraniumreach.model.ServingException;
import org.geraniumreach.model.record.Adapter;
import org.geraniumreach.model.record.Configuration;

/**
 * Authenticates callers and checks what they may use, according to the current configuration.
 *
 * <p>Invariant: no request is admitted while the configuration cannot be confirmed as current, since its key may have
 * been withdrawn meanwhile. No message contains a key. Safe for use by several threads.
 */
final class RequestAuthorizer {

    private final ConfigurationService configuration;

    RequestAuthorizer(ConfigurationService configuration) {
        this.configuration = configuration;
    }

    Configuration current() {
        return configuration.current();
    }

    /**
     * Authenticates the caller of a call by its bearer token.
     *
     * @param call the call, not null
     * @return the caller, not null
     * @throws ServingException if the configuration is not fresh, or the key is missing, unknown or withdrawn
     */
    Caller authenticate(Call call) throws ServingException {
        configuration.requireFresh();
        String secret = call.bearerToken()
                .orElseThrow(() -> ServingException.notRun(ResultCode.KEY_MISSING, "send the key as a bearer token"));
        KeyDigest digest = KeyDigest.ofSecret(secret);
        Configuration snapshot = configuration.current();
        return snapshot.key(digest)
                .flatMap(key -> snapshot.account(key.account()))
                .map(account -> new Caller(account, digest))
                .orElseThrow(() -> ServingException.notRun(ResultCode.KEY_REFUSED, "the key is unknown or withdrawn"));
    }

    /**
     * Checks that a client account may use the adapter version that a request names.
     *
     * @param account the account, not null
     * @param model the model name of the request, not null
     * @return the adapter version, not null
     * @throws ServingException if the name is not adapter@version, or the adapter version does not exist or is not
     *     assigned to the account
     */
    AdapterReference requireAdapter(AccountId account, String model) throws ServingException {
        Optional<AdapterReference> reference = AdapterReference.parse(model);
        if (reference.isEmpty()) {
            throw ServingException.notRun(
                    ResultCode.ADAPTER_VERSION_MISSING, "model must name adapter and version, as adapter@version");
        }
        Configuration snapshot = configuration.current();
        if (!snapshot.hasAdapter(reference.get())) {
            throw ServingException.notRun(ResultCode.ADAPTER_UNKNOWN, "no adapter and version " + reference.get());
        }
        if (!snapshot.isAssigned(account, reference.get().adapter())) {
            throw ServingException.notRun(
                    ResultCode.ADAPTER_NOT_ASSIGNED, reference.get() + " is not assigned to " + account);
        }
        return reference.get();
    }

    Optional<Adapter> adapter(AdapterReference reference) {
        return configuration.current().adapter(reference.adapter());
    }
}
