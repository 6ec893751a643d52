package org.geraniumreach.gateway.crash;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;

import org.apache.commons.codec.digest.DigestUtils;
import org.geraniumreach.gateway.request.GatewayRequest;
import org.geraniumreach.model.AccountId;

/**
 * What a request is recognized by in all its attempts, which have different ids.
 *
 * <p>Attempts with the same client account, host, method, path, query, model, adapter, prompt parts and body are one request, whoever sends them and
 * wherever a stream is taken up. Immutable and safe for use by several threads.
 *
 * @param request identifies the request
 * @param promptParts identify the parts of its prompt that other requests may have as well
 */
public record RequestIdentity(SuspectKey request, List<SuspectKey> promptParts) {

    /** Bounds what one request adds to the suspects. */
    private static final int MAXIMUM_PROMPT_PARTS = 16;

    public RequestIdentity {
        Objects.requireNonNull(request, "request");
        promptParts = List.copyOf(promptParts);
    }

    /**
     * Obtains the identity of a request.
     *
     * @param request the request, not null
     * @param account the client account that is charged, empty for none, not null
     * @return the identity, not null
     */
    public static RequestIdentity of(GatewayRequest request, Optional<AccountId> account) {
        MessageDigest digest = DigestUtils.getSha256Digest();
        update(digest, account.map(AccountId::value).orElse(""));
        update(digest, request.host());
        update(digest, request.method());
        update(digest, request.uri());
        request.generation().ifPresent(generation -> {
            update(digest, generation.model());
            update(digest, generation.adapter().map(Object::toString).orElse(""));
            generation.promptParts().forEach(part -> update(digest, part.toString()));
        });
        digest.update(request.body());
        return new RequestIdentity(
                new SuspectKey(SuspectKey.Kind.REQUEST, first(digest)),
                request.generation().map(RequestIdentity::sharedParts).orElseGet(List::of));
    }

    /** Gets all parts but the last one, which belongs to the request or its session alone. */
    private static List<SuspectKey> sharedParts(GatewayRequest.Generation generation) {
        return generation.promptParts().stream()
                .limit(Math.max(0, generation.promptParts().size() - 1))
                .limit(MAXIMUM_PROMPT_PARTS)
                .map(GatewayRequest.PromptPart::id)
                .distinct()
                .map(RequestIdentity::promptPart)
                .toList();
    }

    private static SuspectKey promptPart(String id) {
        MessageDigest digest = DigestUtils.getSha256Digest();
        update(digest, id);
        return new SuspectKey(SuspectKey.Kind.PROMPT_PART, first(digest));
    }

    /**
     * Gets everything in the request that may be the reason why a target ends.
     *
     * @return the suspects, not null
     */
    public List<SuspectKey> suspects() {
        return Stream.concat(Stream.of(request), promptParts.stream()).toList();
    }

    /** Adds a text with its length, so that the borders between texts count. */
    private static void update(MessageDigest digest, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
        digest.update(bytes);
    }

    private static long first(MessageDigest digest) {
        return ByteBuffer.wrap(digest.digest()).getLong();
    }
}
