package org.geraniumreach.node;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.geraniumreach.gateway.quota.QuotaPeers;
import org.geraniumreach.gateway.quota.Quotas;
import org.geraniumreach.messages.Frame;
import org.geraniumreach.messages.QuotaRequest;
import org.geraniumreach.messages.QuotaResponse;
import org.geraniumreach.model.AccountId;

/**
 * Sends quota requests for client accounts to other entries over the links, and answers theirs from this entry's shares.
 *
 * <p>Confined to the event loop.
 */
final class QuotaLinks implements QuotaPeers {

    private final Quotas quotas;
    private final EntryLinks links;

    QuotaLinks(Quotas quotas, EntryLinks links) {
        this.quotas = Objects.requireNonNull(quotas, "quotas");
        this.links = Objects.requireNonNull(links, "links");
    }

    @Override
    public boolean requestUnits(String entry, long number, AccountId account, double units) {
        QuotaRequest request = QuotaRequest.newBuilder()
                .setNumber(number)
                .setAccount(account.value())
                .setUnits(units)
                .build();
        return links.sendFeedOrQuota(
                entry, Frame.newBuilder().setQuotaRequest(request).build());
    }

    void onRequest(String entry, QuotaRequest request) {
        Quotas.Admission admission = quotas.admitForPeer(AccountId.of(request.getAccount()), request.getUnits());
        QuotaResponse.Builder response = QuotaResponse.newBuilder()
                .setNumber(request.getNumber())
                .setGranted(admission.admitted())
                .setDelayKnown(admission.delay().isPresent())
                .setDelayNanos(admission.delay().orElse(Duration.ZERO).toNanos());
        links.sendFeedOrQuota(
                entry, Frame.newBuilder().setQuotaResponse(response).build());
    }

    static Quotas.Admission toAdmission(QuotaResponse response) {
        Optional<Duration> delay = response.getDelayKnown()
                ? Optional.of(Duration.ofNanos(Math.max(0, response.getDelayNanos())))
                : Optional.empty();
        return new Quotas.Admission(response.getGranted(), delay);
    }
}
