package org.geraniumreach.daemon.node;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;

import org.geraniumreach.daemon.settings.Setting;

/**
 * Where the platform's services are.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param table the table service
 * @param objects the object store
 * @param list the instance list
 * @param callLimit how long a call may take
 */
public record PlatformSettings(
        @Setting(about = "The address of the table service.") InetSocketAddress table,
        @Setting(about = "The address of the object store.") InetSocketAddress objects,
        @Setting(about = "The address of the instance list.") InetSocketAddress list,
        @Setting(value = "2s", least = "10ms", greatest = "1m", about = "How long a call of the platform may take.")
                Duration callLimit) {

    /**
     * Gets the base of a service's URIs.
     *
     * @param address the service's address, not null
     * @return the URI, not null
     */
    public static URI uri(InetSocketAddress address) {
        return URI.create("http://" + address.getAddress().getHostAddress() + ":" + address.getPort());
    }
}
