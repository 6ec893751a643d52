package org.geraniumreach.standalone;

import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.util.Optional;

import org.geraniumreach.ports.ObjectStore;
import org.geraniumreach.ports.PlatformException;
import org.geraniumreach.ports.PlatformException.Reason;

/**
 * Accesses the object store over HTTP.
 *
 * <p>Safe for use by several threads.
 */
final class HttpObjectStore implements ObjectStore {

    private final HttpTransport transport;

    HttpObjectStore(HttpTransport transport) {
        this.transport = transport;
    }

    @Override
    public void put(String key, byte[] content) throws PlatformException {
        HttpRequest request = transport
                .request(path(key))
                .PUT(BodyPublishers.ofByteArray(content))
                .build();
        transport.call(request);
    }

    @Override
    public Optional<byte[]> get(String key) throws PlatformException {
        try {
            return Optional.of(transport.call(transport.request(path(key)).GET().build()));
        } catch (PlatformException e) {
            if (e.reason() == Reason.NOT_FOUND) {
                return Optional.empty();
            }
            throw e;
        }
    }

    private static String path(String key) {
        return QueryPath.of("/v1/objects").with("key", key).text();
    }
}
