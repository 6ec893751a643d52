package org.geraniumreach.standalone;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;
import org.geraniumreach.model.FailureDomain;
import org.geraniumreach.model.InstanceId;
import org.geraniumreach.ports.InstanceList;
import org.geraniumreach.ports.ListedInstance;
import org.geraniumreach.ports.PlatformException;
import org.geraniumreach.ports.PlatformException.Effect;
import org.geraniumreach.ports.PlatformException.Reason;

/**
 * Reads the instance list over HTTP.
 *
 * <p>Invariant: a list with a malformed entry is a failure, since omitting the entry would look as if the instance had
 * been removed. Safe for use by several threads.
 */
final class HttpInstanceList implements InstanceList {

    private final HttpTransport transport;

    HttpInstanceList(HttpTransport transport) {
        this.transport = transport;
    }

    @Override
    public List<ListedInstance> read() throws PlatformException {
        JsonNode answer =
                transport.callForJson(transport.request("/v1/instances").GET().build());
        JsonNode instances = answer.path("instances");
        if (!instances.isArray()) {
            throw new PlatformException(Effect.UNKNOWN, Reason.BAD_ANSWER, "answer lacks 'instances'", null);
        }
        List<ListedInstance> result = new ArrayList<>(instances.size());
        for (JsonNode instance : instances) {
            result.add(toInstance(instance));
        }
        return result;
    }

    private static ListedInstance toInstance(JsonNode json) throws PlatformException {
        try {
            return new ListedInstance(
                    InstanceId.of(json.path("instance").asText()),
                    ListedInstance.Role.valueOf(json.path("role").asText().toUpperCase(Locale.ROOT)),
                    FailureDomain.of(json.path("failureDomain").asText()),
                    toAddress(json.path("linkAddress").asText()),
                    json.path("leaving").asBoolean());
        } catch (IllegalArgumentException e) {
            throw new PlatformException(
                    Effect.UNKNOWN, Reason.BAD_ANSWER, "instance cannot be read: " + e.getMessage(), e);
        }
    }

    private static InetSocketAddress toAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("not an address with port: '" + text + "'");
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
