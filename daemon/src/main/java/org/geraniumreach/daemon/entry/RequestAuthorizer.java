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
 * Checks who sent a request and what they may use, by the configuration in force.
 *
 * <p>Invariant: nothing is let through while the configuration cannot be confirmed as current, since a key may have been
 * withdrawn meanwhile. No message holds a key. Safe for use by several threads.
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
     * Finds who sent a call.
     *
     * @param call the call, not null
     * @return the caller, not null
     * @throws ServingException if the configuration is not fresh, or no good key came with the call
     */
    Caller authenticate(Call call) throws ServingException {
        configuration.requireFresh();
        String secret = call.bearerToken()
                .orElseThrow(() -> ServingException.notRun(ResultCode.KEY_MISSING, "send the key as a bearer token"));
        KeyDigest digest = KeyDigest.ofSecret(secret);
        Configuration now = configuration.current();
        return now.key(digest)
                .flatMap(key -> now.account(key.account()))
                .map(account -> new Caller(account, digest))
                .orElseThrow(() -> ServingException.notRun(ResultCode.KEY_REFUSED, "the key is unknown or withdrawn"));
    }

    /**
     * Checks that a client account may use what it names.
     *
     * @param account the account, not null
     * @param model what the request names as its model, not null
     * @return the adapter and version, not null
     * @throws ServingException if it is not adapter and version, does not exist, or is not assigned
     */
    AdapterReference requireAdapter(AccountId account, String model) throws ServingException {
        Optional<AdapterReference> reference = AdapterReference.parse(model);
        if (reference.isEmpty()) {
            throw ServingException.notRun(
                    ResultCode.ADAPTER_VERSION_MISSING, "model must name adapter and version, as adapter@version");
        }
        Configuration now = configuration.current();
        if (!now.hasAdapter(reference.get())) {
            throw ServingException.notRun(ResultCode.ADAPTER_UNKNOWN, "no adapter and version " + reference.get());
        }
        if (!now.isAssigned(account, reference.get().adapter())) {
            throw ServingException.notRun(
                    ResultCode.ADAPTER_NOT_ASSIGNED, reference.get() + " is not assigned to " + account);
        }
        return reference.get();
    }

    Optional<Adapter> adapter(AdapterReference reference) {
        return configuration.current().adapter(reference.adapter());
    }
}
