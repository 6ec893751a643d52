package org.geraniumreach.gateway.stream;

import java.util.Collection;
import java.util.List;

/**
 * Exchanges the origins of streams with other entries.
 *
 * <p>Confined to the event loop.
 */
public interface StreamPeers {

    /**
     * Gets the other entries to which a link is open and that know these messages.
     *
     * @return their instances, not null
     */
    Collection<String> connectedEntries();

    /**
     * Sends records, which the receiver acknowledges through {@link ResumableStreams#onRecorded}.
     *
     * @param entry the receiving entry, not null
     * @param number the number to acknowledge, 0 if no acknowledgement is needed
     * @param records the records, not null
     * @return false if the entry cannot be reached
     */
    boolean sendRecords(String entry, long number, List<StreamRecord> records);

    /**
     * Requests the origin of a stream. The answer is passed to {@link ResumableStreams#onOriginAnswer}.
     *
     * @param entry the receiving entry, not null
     * @param number the number of the request
     * @param key identifies the stream, not null
     * @param service the service that is to run the stream unless its record names another, not null
     * @return false if the entry cannot be reached
     */
    boolean requestOrigin(String entry, long number, StreamKey key, String service);

    /**
     * Obtains an instance without other entries.
     *
     * @return the instance, not null
     */
    static StreamPeers none() {
        return new StreamPeers() {
            @Override
            public Collection<String> connectedEntries() {
                return List.of();
            }

            @Override
            public boolean sendRecords(String entry, long number, List<StreamRecord> records) {
                return false;
            }

            @Override
            public boolean requestOrigin(String entry, long number, StreamKey key, String service) {
                return false;
            }
        };
    }
}
