package org.geraniumreach.ports;

import java.util.Optional;

/**
 * The platform's object store.
 *
 * <p>Contract: calls block for at most their timeout; implementations are safe for use by several threads. Putting the
 * same content under the same key is idempotent.
 */
public interface ObjectStore {

    /**
     * Writes an object.
     *
     * @param key the object's key, not null
     * @param content its content, not null
     * @throws PlatformException if the call failed or got no answer
     */
    void put(String key, byte[] content) throws PlatformException;

    /**
     * Reads an object.
     *
     * @param key the object's key, not null
     * @return its content, or empty if there is none
     * @throws PlatformException if the call failed or got no answer
     */
    Optional<byte[]> get(String key) throws PlatformException;
}
